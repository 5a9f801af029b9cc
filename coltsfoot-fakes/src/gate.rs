//! One-shot event that any number of tasks can wait for.

/// One-shot event; all waits return once it is open.
pub(crate) struct WaitGate {
    sender: async_channel::Sender<()>,
    receiver: async_channel::Receiver<()>,
}

impl WaitGate {
    pub(crate) fn new() -> Self {
        let (sender, receiver) = async_channel::bounded(1);
        Self { sender, receiver }
    }

    pub(crate) fn open(&self) {
        self.sender.close();
    }

    pub(crate) fn is_open(&self) -> bool {
        self.sender.is_closed()
    }

    pub(crate) async fn wait(&self) {
        // Nothing is ever sent, so this returns only when the channel is closed.
        let _ = self.receiver.recv().await;
    }
}
