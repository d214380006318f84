"""A view of the store for each node of a test, so that the store can treat the nodes differently."""

import signal


class StoreViews:
    """Base class, beside a case of entry nodes, that gives each node a view of type `VIEW_TYPE`."""

    VIEW_TYPE = None

    def setUp(self):
        super().setUp()
        self.views = []

    def tearDown(self):
        self.signal(self.nodes, signal.SIGCONT)
        for view in self.views:
            self.open_view(view)
        super().tearDown()
        for view in self.views:
            view.shutdown()
            view.server_close()

    def open_view(self, view):
        """Ends what a view does to its node, so that the view can be closed."""

    @staticmethod
    def signal(nodes, number):
        """Sends a signal to the nodes whose processes run."""
        for node in nodes:
            if node.process.poll() is None:
                node.process.send_signal(number)

    def store_of_next_node(self):
        self.views.append(self.VIEW_TYPE(self.store))
        return self.views[-1]
