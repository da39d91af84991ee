//! A queue that sends the responses of a connection in the order of the requests, regardless of the order in which they
//! become ready.

use std::collections::VecDeque;

/// The pending requests of a connection, oldest first.
pub(super) struct ResponseQueue<K> {
    slots: VecDeque<Slot<K>>,
}

struct Slot<K> {
    key: K,
    /// The response, if it is ready and waits for responses to earlier requests.
    response: Option<Vec<u8>>,
}

impl<K> Default for ResponseQueue<K> {
    fn default() -> Self {
        ResponseQueue {
            slots: VecDeque::new(),
        }
    }
}

impl<K: PartialEq + Copy> ResponseQueue<K> {
    /// Adds a request to the end of the queue.
    pub(super) fn push_request(&mut self, key: K) {
        self.slots.push_back(Slot {
            key,
            response: None,
        });
    }

    /// Sets the response to the oldest pending request with this key. Returns the bytes that can be sent now.
    pub(super) fn complete(&mut self, key: K, response: Vec<u8>) -> Vec<u8> {
        let is_pending = |slot: &&mut Slot<K>| slot.key == key && slot.response.is_none();
        if let Some(slot) = self.slots.iter_mut().find(is_pending) {
            slot.response = Some(response);
        }
        let mut ready = Vec::new();
        while let Some(next) = self.slots.front_mut().and_then(|slot| slot.response.take()) {
            ready.extend(next);
            self.slots.pop_front();
        }
        ready
    }

    /// The keys of the requests whose responses have not been sent.
    pub(super) fn pending(&self) -> impl Iterator<Item = K> + '_ {
        self.slots.iter().map(|slot| slot.key)
    }
}

#[cfg(test)]
mod tests;
