//! The memory that open messages take, and its bound.

use super::record::AcceptedMessage;

/// Copies of a message's body that are in memory at a time: the message's own, and the bytes of a call that the socket
/// does not take at once.
const BODY_COPIES: usize = 2;
/// Copies of a message's other texts: the message's own, and one in its call.
const TEXT_COPIES: usize = 2;
/// What an open message takes beside its texts: its entries in the ledger and in the policy engine, and the actor,
/// connection and read buffer of its call.
const FIXED_BYTES: usize = 8 * 1024;
/// What a message with a final status takes beside its texts: it has no call and no body any more.
const FINISHED_BYTES: usize = 1024;
/// The finished messages of one tenant may take this part (a quarter) of the memory of all messages.
const TENANT_DIVISOR: usize = 4;

impl AcceptedMessage {
    /// Bytes of memory that this message takes while it is open, rather too many than too few.
    #[must_use]
    pub fn memory_bytes(&self) -> usize {
        FIXED_BYTES + BODY_COPIES * self.body.len() + TEXT_COPIES * self.text_bytes()
    }

    /// The same once its final status is decided.
    #[must_use]
    pub fn finished_bytes(&self) -> usize {
        FINISHED_BYTES + TEXT_COPIES * self.text_bytes()
    }

    fn text_bytes(&self) -> usize {
        let texts = [&self.request_id, &self.class, &self.tenant, &self.idempotency_key, &self.frontend_note];
        texts.iter().map(|text| text.len()).sum()
    }
}

/// The memory of all open messages together.
#[derive(Clone, Debug)]
pub struct MessageMemory {
    used_bytes: usize,
    max_bytes: usize,
}

impl MessageMemory {
    /// No messages, and room for so many bytes of them.
    #[must_use]
    pub fn new(max_bytes: usize) -> MessageMemory {
        MessageMemory { used_bytes: 0, max_bytes }
    }

    /// Changes the bound. Messages that are open stay so.
    pub fn set_bound(&mut self, max_bytes: usize) {
        self.max_bytes = max_bytes;
    }

    /// Bytes that the open messages take.
    #[must_use]
    pub fn used_bytes(&self) -> usize {
        self.used_bytes
    }

    /// Whether a message may be accepted.
    #[must_use]
    pub fn has_room_for(&self, message: &AcceptedMessage) -> bool {
        self.used_bytes.saturating_add(message.memory_bytes()) <= self.max_bytes
    }

    /// How many finished messages one tenant may have.
    #[must_use]
    pub fn max_finished_of_tenant(&self) -> usize {
        self.max_bytes / TENANT_DIVISOR / FINISHED_BYTES
    }

    /// So many bytes are used from now on.
    pub fn add(&mut self, bytes: usize) {
        self.used_bytes = self.used_bytes.saturating_add(bytes);
    }

    /// So many bytes are no longer used.
    pub fn remove(&mut self, bytes: usize) {
        self.used_bytes = self.used_bytes.saturating_sub(bytes);
    }
}
