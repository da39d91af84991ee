//! Responses of a connection that go out in the order of the requests, whichever is ready first.

use std::collections::VecDeque;

/// The open requests of a connection, the oldest first.
pub(super) struct ResponseQueue<K> {
    slots: VecDeque<Slot<K>>,
}

struct Slot<K> {
    key: K,
    /// The response, while it waits for those before it.
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
    /// Adds a request that has come.
    pub(super) fn push_request(&mut self, key: K) {
        self.slots.push_back(Slot {
            key,
            response: None,
        });
    }

    /// Adds the response to the oldest open request of a key; returns what may go out now.
    pub(super) fn complete(&mut self, key: K, response: Vec<u8>) -> Vec<u8> {
        let open = |slot: &&mut Slot<K>| slot.key == key && slot.response.is_none();
        if let Some(slot) = self.slots.iter_mut().find(open) {
            slot.response = Some(response);
        }
        let mut ready = Vec::new();
        while let Some(next) = self.slots.front_mut().and_then(|slot| slot.response.take()) {
            ready.extend(next);
            self.slots.pop_front();
        }
        ready
    }

    /// The keys of the requests whose responses have not gone out.
    pub(super) fn pending(&self) -> impl Iterator<Item = K> + '_ {
        self.slots.iter().map(|slot| slot.key)
    }
}

#[cfg(test)]
mod tests;
