#include <lagoonsaddle/operate/page.hpp>

namespace lagoonsaddle::operate {

namespace {

// The script inserts all content as text nodes, so names from callers cannot be interpreted as markup.
constexpr std::string_view page_html = R"html(<!doctype html>
<html lang="en">
<head>
<meta charset="utf-8">
<meta name="viewport" content="width=device-width, initial-scale=1">
<meta name="color-scheme" content="light dark">
<title>lagoonsaddle</title>
<style>
:root { --back: #fff; --text: #1b1b1f; --soft: #5c5f66; --line: #d5d8de; --card: #f4f5f8; --main: #1456c4;
  --on-main: #fff; --bad: #b3261e; --good: #146c2e; --warn: #8a5a00; --add: #dcf3e0; --cut: #fbe0de; }
@media (prefers-color-scheme: dark) {
  :root { --back: #121317; --text: #e6e7ec; --soft: #a3a7b0; --line: #353841; --card: #1d1f25; --main: #8ab4f8;
    --on-main: #10233f; --bad: #ff8a80; --good: #81d99a; --warn: #f2c063; --add: #16351f; --cut: #43211f; }
}
* { box-sizing: border-box; }
body { margin: 0; background: var(--back); color: var(--text); font: 16px/1.4 system-ui, sans-serif; }
header { position: sticky; top: 0; background: var(--back); border-bottom: 1px solid var(--line); padding: 8px 12px;
  display: flex; gap: 8px; align-items: center; z-index: 1; }
header div { flex: 1; min-width: 0; }
main { padding: 8px 12px 96px; max-width: 720px; margin: 0 auto; }
footer { position: fixed; left: 0; right: 0; bottom: 0; background: var(--back); border-top: 1px solid var(--line);
  padding: 8px 12px; display: flex; gap: 8px; }
footer:empty { display: none; }
footer button { flex: 1; }
button, input, textarea, select { font: inherit; color: inherit; border: 1px solid var(--line); border-radius: 8px;
  background: var(--card); padding: 8px 10px; min-height: 44px; max-width: 100%; }
input, textarea { width: 100%; }
textarea { font: 13px/1.4 monospace; min-height: 180px; }
button.main { background: var(--main); color: var(--on-main); border-color: var(--main); }
button.on { outline: 2px solid var(--main); }
button:disabled { opacity: .5; }
.card { display: block; width: 100%; text-align: left; background: var(--card); border: 1px solid var(--line);
  border-radius: 10px; padding: 10px; margin: 8px 0; overflow-wrap: anywhere; }
.row { display: flex; flex-wrap: wrap; gap: 6px; margin: 6px 0; align-items: center; }
.row button { flex: 1 0 auto; }
.soft { color: var(--soft); font-size: 14px; }
.bad { color: var(--bad); } .good { color: var(--good); } .warn { color: var(--warn); }
.off { opacity: .55; }
label { display: block; margin: 8px 0; font-size: 14px; color: var(--soft); }
pre { font: 12px/1.4 monospace; white-space: pre-wrap; overflow-wrap: anywhere; margin: 6px 0; }
pre span { display: block; }
.add { background: var(--add); } .cut { background: var(--cut); }
h2 { font-size: 17px; margin: 14px 0 4px; }
</style>
</head>
<body>
<header><div id="head">lagoonsaddle</div><span id="tools"></span></header>
<main id="main"></main>
<footer id="foot"></footer>
<script>
'use strict';
const main = document.getElementById('main'), footer = document.getElementById('foot');
const heading = document.getElementById('head'), tools = document.getElementById('tools');
const deepCopy = value => JSON.parse(JSON.stringify(value));
const deepEqual = (a, b) => JSON.stringify(a) === JSON.stringify(b);

// state: rules in force; draft: edited rules; base: the state from which the draft was created.
let state = null, base = null, draft = null, selected = -1, view = 'list', timer = 0;
// Version whose undo awaits confirmation by a second tap; -1 for none.
let undoConfirmVersion = -1;
// Redrawing the list between pointerdown and pointerup would lose the tap.
let pointerDown = false;
document.addEventListener('pointerdown', () => { pointerDown = true; });
for (const name of ['pointerup', 'pointercancel'])
  document.addEventListener(name, () => setTimeout(() => { pointerDown = false; }, 50));

function createElement(tag, attributes, ...children) {
  const node = document.createElement(tag);
  for (const [name, value] of Object.entries(attributes || {})) {
    if (name.startsWith('on')) node.addEventListener(name.slice(2), value);
    else if (name in node) node[name] = value;
    else node.setAttribute(name, value);
  }
  node.append(...children.filter(child => child !== null && child !== undefined && child !== ''));
  return node;
}
const button = (text, onclick, className, disabled) =>
  createElement('button', { type: 'button', onclick, className: className || '', disabled: !!disabled }, text);
const mutedText = (...children) => createElement('div', { className: 'soft' }, ...children);
const showView = (content, ...buttons) => { main.replaceChildren(...content.flat(9).filter(Boolean)); footer.replaceChildren(...buttons); };
const formatTime = ms => ms ? new Date(ms).toLocaleTimeString() : '';

async function sendRequest(method, path, body) {
  const token = sessionStorage.getItem('token');
  const answer = await fetch(path, { method, cache: 'no-store',
    headers: { authorization: 'Bearer ' + token, 'content-type': 'application/json' },
    body: body === undefined ? undefined : JSON.stringify(body) });
  if (answer.status === 401) { sessionStorage.removeItem('token'); askToken('The token was not accepted.'); throw null; }
  const value = await answer.json();
  return { status: answer.status, value };
}
function reportFailure(error) {
  if (error !== null) showAlert('No answer from the node: ' + error);
}
function showAlert(text) {
  for (const old of document.querySelectorAll('[role=alert]')) old.remove();
  main.prepend(createElement('div', { className: 'card bad', role: 'alert' }, text));
  scrollTo(0, 0);
}
const runAsync = action => () => { action().catch(reportFailure); };

function askToken(message) {
  view = 'token';
  clearTimeout(timer);
  const input = createElement('input', { type: 'password', autocomplete: 'current-password', 'aria-label': 'Token' });
  const enter = runAsync(async () => { sessionStorage.setItem('token', input.value.trim()); view = 'list'; await loadRules(true); });
  showView([message && createElement('p', { className: 'bad' }, message), createElement('p', {}, 'Token of the operator interface:'), input],
    button('Open', enter, 'main'));
  input.addEventListener('keydown', event => { if (event.key === 'Enter') enter(); });
  input.focus();
}

// Loads the rules and redraws the list. While a pointer is down, the list is redrawn only if `redraw` is set.
async function loadRules(redraw) {
  if (!sessionStorage.getItem('token')) return askToken();
  const { status, value } = await sendRequest('GET', '/rules');
  if (status !== 200) throw value.error.message;
  state = value;
  drawHead();
  if (view === 'list' && (redraw || !pointerDown)) drawList();
}
function scheduleRefresh() {
  clearTimeout(timer);
  const rolloutPending = state && state.nodes_in_force < state.nodes;
  timer = setTimeout(async () => {
    if (!document.hidden && view !== 'token') await loadRules().catch(reportFailure);
    if (view !== 'token') scheduleRefresh();
  }, rolloutPending ? 1000 : 10000);
}
function drawHead() {
  const all = state.nodes_in_force >= state.nodes;
  heading.replaceChildren(createElement('b', {}, 'Rules, version ' + state.version),
    createElement('div', { className: 'soft ' + (all ? 'good' : 'warn'), role: 'status' },
      'in force on ' + state.nodes_in_force + ' of ' + state.nodes + ' nodes'));
  tools.replaceChildren(button('Find request', drawFind));
}

function describeFields(object) {
  return Object.entries(object || {}).map(([name, value]) => name + ' ' +
    (typeof value === 'string' ? value : JSON.stringify(value).replace(/["{}[\]]/g, '').replace(/,/g, ', '))).join('; ');
}
function describeAction(rule) {
  const { action, ...rest } = rule.then;
  return action + (Object.keys(rest).length ? ': ' + describeFields(rest) : '');
}
function renderWarnings(index) {
  return state.warnings.filter(one => one.rule === index).map(one => createElement('div', { className: 'warn soft' }, one.message));
}
function drawList() {
  view = 'list';
  const cards = state.document.rules.map((rule, index) => {
    const hits = state.hits[index];
    return createElement('button', { type: 'button', className: 'card' + (rule.enabled === false ? ' off' : ''),
        onclick: () => editRule(index) },
      createElement('b', {}, (index + 1) + '. ' + rule.name + (rule.enabled === false ? ' (off)' : '')),
      mutedText('when ' + (describeFields(rule.when) || 'always')), mutedText('then ' + describeAction(rule)),
      mutedText(hits.count + ' hits on this node' +
        (hits.latest.length ? '; latest ' + hits.latest.map(one => formatTime(one.time_ms) + ' ' + one.caller + ' ' + one.target).slice(0, 2).join(', ') : '')),
      ...renderWarnings(index));
  });
  showView([cards.length ? cards : mutedText('There are no rules; every request is allowed.'),
      mutedText('Changed by ' + (state.changed_by || 'unknown') + ' ' + (state.changed_at_ms ? new Date(state.changed_at_ms).toLocaleString() : ''))],
    button('New rule', () => editRule(-1)), undoButton());
  scheduleRefresh();
}
function undoButton() {
  const version = state.version;
  if (undoConfirmVersion !== version) return button('Undo', () => { undoConfirmVersion = version; drawList(); }, '', version === 0);
  return button('Undo version ' + version + ' now', runAsync(async () => {
    undoConfirmVersion = -1;
    const { status, value } = await sendRequest('POST', '/rules/undo', { expected_version: version, author: 'phone' });
    if (status === 200) state = value;
    else if (status === 409) state = value.current;
    drawHead();
    drawList();
    if (status !== 200) showAlert('Not undone: ' + value.error.message);
  }), 'main');
}

function startDraft() {
  if (draft === null) { base = state; draft = deepCopy(state.document.rules); }
}
function editRule(index) {
  clearTimeout(timer);
  startDraft();
  if (index < 0) {
    draft.unshift({ name: 'rule-' + Date.now().toString(36), enabled: false, when: {}, then: { action: 'allow' } });
    index = 0;
  }
  selected = index;
  drawEdit();
}
function discard() { jsonError = ''; draft = null; base = null; selected = -1; view = 'list'; drawList(); runAsync(loadRules)(); }

const defaultActions = { allow: { action: 'allow' }, refuse: { action: 'refuse', reason: 'Refused by the operator.', retry_after_ms: 60000 } };
const conditionFields = ['caller', 'adapter', 'version', 'channel', 'base_model', 'availability_zone', 'service'];
let jsonError = '';
function drawEdit(problem) {
  view = 'edit';
  jsonError = '';
  const rule = draft[selected];
  if (typeof rule.then !== 'object' || rule.then === null) rule.then = deepCopy(defaultActions.allow);
  const change = action => () => { action(); drawEdit(); };
  const drain = rule.then.action === 'drain';
  const field = name => createElement('label', {}, name, createElement('input', { value: [].concat(rule.when && rule.when[name] || []).join(', '),
    autocapitalize: 'off', autocomplete: 'off', spellcheck: false, placeholder: 'any; several with commas, * at the end',
    onchange: event => {
      const values = event.target.value.split(',').map(text => text.trim()).filter(Boolean);
      rule.when = rule.when || {};
      if (!values.length) delete rule.when[name]; else rule.when[name] = values.length === 1 ? values[0] : values;
      text.value = JSON.stringify(rule, null, 1);
      jsonError = '';
    } }));
  const text = createElement('textarea', { value: JSON.stringify(rule, null, 1), autocapitalize: 'off', spellcheck: false, 'aria-label': 'Rule as JSON',
    onchange: event => {
      // Redrawing the form here would lose the tap that moved the focus: the change event comes before its click.
      try {
        const parsed = JSON.parse(event.target.value);
        if (typeof parsed !== 'object' || parsed === null || Array.isArray(parsed)) throw new Error('a rule is an object');
        for (const name of Object.keys(rule)) delete rule[name];
        Object.assign(rule, parsed);
        jsonError = '';
      } catch (error) { jsonError = 'Not valid JSON: ' + error.message; }
    } });
  const move = step => change(() => {
    [draft[selected], draft[selected + step]] = [draft[selected + step], draft[selected]]; selected += step; });
  const setPriority = value => change(() => { if (value === null) delete rule.then.priority; else rule.then.priority = value; });
  showView([problem && createElement('div', { className: 'card bad', role: 'alert' }, problem),
    createElement('h2', {}, (selected + 1) + '. ' + rule.name),
    createElement('div', { className: 'row' },
      button('On', change(() => { delete rule.enabled; }), rule.enabled === false ? '' : 'on'),
      button('Off', change(() => { rule.enabled = false; }), rule.enabled === false ? 'on' : ''),
      drain ? null : button('Allow', change(() => { if (rule.then.action !== 'allow') rule.then = deepCopy(defaultActions.allow); }), rule.then.action === 'allow' ? 'on' : ''),
      drain ? null : button('Refuse', change(() => { if (rule.then.action !== 'refuse') rule.then = deepCopy(defaultActions.refuse); }), rule.then.action === 'refuse' ? 'on' : '')),
    rule.then.action === 'allow' && [createElement('h2', {}, 'Priority'), createElement('div', { className: 'row' },
      button('as sent', setPriority(null), rule.then.priority === undefined ? 'on' : ''),
      ...[0, 1, 2, 3, 4, 5, 6, 7, 8, 9].map(value => button(String(value), setPriority(value), rule.then.priority === value ? 'on' : '')))],
    createElement('div', { className: 'row' },
      button('Up', move(-1), '', selected === 0), button('Down', move(1), '', selected === draft.length - 1),
      button('Delete', () => { draft.splice(selected, 1); selected = -1; jsonError = ''; runAsync(preview)(); })),
    !drain && [createElement('h2', {}, 'When'), ...conditionFields.map(field)],
    createElement('h2', {}, 'Everything'), text,
    ...renderLatestMatches(rule.name)],
    button('Discard', discard), button('Preview', runAsync(preview), 'main'));
  if (problem) scrollTo(0, 0);
}
function renderLatestMatches(name) {
  const hits = (state.hits.find(one => one.rule === name) || { latest: [] }).latest;
  return hits.length ? [createElement('h2', {}, 'Latest matches'), ...hits.map(one => createElement('button', { type: 'button', className: 'card', onclick: () => explainRequest(one.request_id) },
    one.request_id, mutedText(formatTime(one.time_ms) + ' ' + one.caller + ' ' + one.target)))] : [];
}

async function preview() {
  if (jsonError) return showAlert(jsonError);
  const { status, value } = await sendRequest('POST', '/rules/preview', { rules: draft });
  view = 'preview';
  if (status !== 200) throw value.error.message;
  if (!value.valid) {
    const errors = value.errors.map(one => one.path + ': ' + one.message);
    if (selected >= 0 && selected < draft.length) return drawEdit(errors.join('\n'));
    return showView(errors.map(one => createElement('div', { className: 'card bad' }, one)), button('Discard', discard));
  }
  const report = value.preview;
  showView([createElement('h2', {}, 'Your change'), renderDifference(base.document.rules, draft),
      createElement('h2', {}, report.changed + ' of the ' + report.requests + ' latest requests would be decided differently'),
      report.newly_refused ? createElement('div', { className: 'bad' }, report.newly_refused + ' would be refused') : null,
      report.newly_allowed ? createElement('div', { className: 'good' }, report.newly_allowed + ' would be allowed') : null,
      value.warnings.map(one => createElement('div', { className: 'card warn' }, (one.rule + 1) + '. ' + draft[one.rule].name + ': ' + one.message)),
      report.differences.map(one => createElement('div', { className: 'card' }, createElement('b', {}, one.caller + ' ' + one.target),
        one.changes.map(text => mutedText(text)).reduce((all, node) => { all.append(node); return all; }, createElement('div')),
        mutedText((one.rule_before || 'no rule') + ' -> ' + (one.rule_after || 'no rule'))))],
    button('Discard', discard),
    button('Edit', () => drawEdit(), '', selected < 0 || selected >= draft.length),
    button('Save', runAsync(save), 'main'));
}
async function save() {
  const { status, value } = await sendRequest('PUT', '/rules', { rules: draft, expected_version: base.version, author: 'phone' });
  if (status === 200) { state = value; draft = null; base = null; selected = -1; drawHead(); drawList(); return; }
  if (status === 409) { state = value.current; drawHead(); return drawConflict(); }
  showAlert('Not saved: ' + value.error.message);
}

function renderLineDiff(before, after) {
  const a = before === undefined ? [] : JSON.stringify(before, null, 1).split('\n');
  const b = after === undefined ? [] : JSON.stringify(after, null, 1).split('\n');
  const commonLines = Array.from({ length: a.length + 1 }, () => new Array(b.length + 1).fill(0));
  for (let i = a.length - 1; i >= 0; --i)
    for (let j = b.length - 1; j >= 0; --j)
      commonLines[i][j] = a[i] === b[j] ? commonLines[i + 1][j + 1] + 1 : Math.max(commonLines[i + 1][j], commonLines[i][j + 1]);
  const out = createElement('pre');
  let i = 0, j = 0;
  const appendLine = (mark, text, className) => out.append(createElement('span', { className }, mark + text));
  while (i < a.length || j < b.length) {
    if (i < a.length && j < b.length && a[i] === b[j]) { appendLine('  ', a[i], ''); ++i; ++j; }
    else if (i < a.length && (j === b.length || commonLines[i + 1][j] >= commonLines[i][j + 1])) { appendLine('- ', a[i], 'cut'); ++i; }
    else { appendLine('+ ', b[j], 'add'); ++j; }
  }
  return out;
}
const byName = rules => new Map(rules.map(rule => [rule.name, rule]));
function changedNames(before, after) {
  const a = byName(before), b = byName(after);
  return [...new Set([...a.keys(), ...b.keys()])].filter(name => !deepEqual(a.get(name), b.get(name)));
}
function orderChanged(before, after) {
  const a = byName(before), b = byName(after);
  return !deepEqual(before.map(rule => rule.name).filter(name => b.has(name)), after.map(rule => rule.name).filter(name => a.has(name)));
}
function renderDifference(before, after) {
  const a = byName(before), b = byName(after), box = createElement('div');
  for (const name of changedNames(before, after))
    box.append(createElement('div', { className: 'card' }, createElement('b', {}, name + (a.has(name) ? (b.has(name) ? '' : ' (removed)') : ' (new)')), renderLineDiff(a.get(name), b.get(name))));
  if (orderChanged(before, after)) box.append(createElement('div', { className: 'card' }, createElement('b', {}, 'Order'), renderLineDiff(before.map(rule => rule.name), after.map(rule => rule.name))));
  if (!box.childNodes.length) box.append(mutedText('Nothing differs.'));
  return box;
}

// Three-way merge: applies the changes from `before` to `mine` to `theirs`. A new rule is inserted before the rule
// that follows it in `mine`.
function rebaseDraft(before, mine, theirs) {
  const changed = new Set(changedNames(before, mine)), own = byName(mine);
  let result = deepCopy(theirs).filter(rule => !changed.has(rule.name) || own.has(rule.name))
    .map(rule => changed.has(rule.name) ? deepCopy(own.get(rule.name)) : rule);
  mine.forEach((rule, index) => {
    if (!changed.has(rule.name) || result.some(one => one.name === rule.name)) return;
    const next = mine.slice(index + 1).map(one => one.name).find(name => result.some(one => one.name === name));
    const place = next === undefined ? result.length : result.findIndex(one => one.name === next);
    result.splice(place, 0, deepCopy(rule));
  });
  if (orderChanged(before, mine)) {
    const order = new Map(mine.map((rule, index) => [rule.name, index]));
    const known = result.filter(rule => order.has(rule.name)).sort((a, b) => order.get(a.name) - order.get(b.name));
    result = result.map(rule => order.has(rule.name) ? known.shift() : rule);
  }
  return result;
}
function drawConflict() {
  view = 'conflict';
  const theirs = state.document.rules;
  const changedByBoth = changedNames(base.document.rules, draft).filter(name => changedNames(base.document.rules, theirs).includes(name));
  showView([createElement('div', { className: 'card bad', role: 'alert' }, 'Not saved: ' + (state.changed_by || 'another operator') + ' saved version ' + state.version +
        ' while you edited version ' + base.version + '.'),
      changedByBoth.length ? createElement('div', { className: 'warn' }, 'Both changed: ' + changedByBoth.join(', ') + '. Applying yours replaces theirs there.') : null,
      createElement('h2', {}, 'Their change'), renderDifference(base.document.rules, theirs),
      createElement('h2', {}, 'Your change'), renderDifference(base.document.rules, draft)],
    button('Keep theirs', discard),
    button('Apply mine to theirs', runAsync(async () => {
      const name = draft[selected] && draft[selected].name;
      draft = rebaseDraft(base.document.rules, draft, theirs);
      base = state;
      selected = draft.findIndex(rule => rule.name === name);
      await preview();
    }), 'main'));
}

function drawFind() {
  clearTimeout(timer);
  view = 'find';
  const input = createElement('input', { placeholder: 'x-request-id', autocapitalize: 'off', autocomplete: 'off', spellcheck: false });
  showView([createElement('h2', {}, 'Why was a request handled as it was?'), input],
    button('Back', leaveSearch), button('Find', () => explainRequest(input.value.trim()), 'main'));
  input.focus();
}
function leaveSearch() { if (draft !== null && selected >= 0) return drawEdit(); view = 'list'; drawList(); }
const explainRequest = id => runAsync(async () => {
  const { status, value } = await sendRequest('GET', '/explain/' + encodeURIComponent(id));
  view = 'find';
  showView([createElement('h2', {}, id), status === 200 ? value.records.map(one => createElement('pre', { className: 'card' }, JSON.stringify(one, null, 1)))
    : createElement('div', { className: 'card bad' }, value.error.message)], button('Back', leaveSearch));
})();

runAsync(() => loadRules(true))();
</script>
</body>
</html>
)html";

} // namespace

std::string_view page() noexcept {
    return page_html;
}

} // namespace lagoonsaddle::operate
