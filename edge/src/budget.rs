//! The socket and memory budget: what each side may hold of the limits that the gateway was given.

/// Descriptors that are neither clients' nor app servers' nor the counter's: standard streams, poll, signals,
/// listener, peers, discovery (an old connection and its successor), the clock's and the log's.
const OWN: usize = 16;

#[derive(Clone, Debug, PartialEq)]
pub struct Budget {
    pub clients: usize,
    pub upstream: usize,
    pub counter: usize,
    /// Bytes in buffers and open API calls from which no more API calls are taken.
    pub bytes: usize,
}

impl Budget {
    /// The counter gets one connection in 512 (one at least), clients and app servers half of the rest each:
    /// an API call that is out holds one of either. Half of the memory may lie in buffers.
    pub fn new(sockets: usize, memory_mb: usize) -> Budget {
        let counter = (sockets / 512).clamp(1, 4);
        let rest = sockets.saturating_sub(OWN + counter).max(2);
        Budget { clients: rest / 2, upstream: rest - rest / 2, counter, bytes: (memory_mb << 20) / 2 }
    }
}
