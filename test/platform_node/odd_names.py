"""Names of entries of another writer, which name nothing for a node."""

KINDS = ("servers", "config", "versions", "load-leases", "stream-origins")
# Characters that mean something in a request line, a path, a query, a header field or a line of a log; and long names.
ODD_NAMES = ("a b", "a&b", "a+b", "a#b", "a%41b", "a%zz", "a%", "a/b", "a?b", "a=b", "a;b", 'a"b', "a\\b", "../a", ".",
             "a&watch=1&waitMs=20000", "a&after=zz", "\u00e4\u00f6\u65e5\u672c", " ", "a\tb", "a\x00b", "a\nb",
             "a HTTP/1.1\r\nx: 1\r\n\r\n", "a\r\nx: 1", "a" * 5_000, "&" * 5_000)


def write_odd_names(store):
    """Writes an entry under each odd name for each kind."""
    for kind in KINDS:
        for name in ODD_NAMES:
            store.put(kind, name, {"note": "of another writer"})
