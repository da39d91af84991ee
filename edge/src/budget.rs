//! The socket and memory budget: what each side may hold of the limits that the gateway was given.

/// Descriptors that are neither clients' nor app servers' nor the counter's: standard streams, poll, signals,
/// listener, peers, discovery (an old connection and its successor), the clock's and the log's.
const OWN: usize = 16;

/// What a gateway that is told no limit takes to be its own: the least that the platform is known to give.
const SOCKETS: usize = 256;
const MEMORY_MB: usize = 32;

fn stated(told: usize, else_taken: usize) -> usize {
    if told == 0 {
        else_taken
    } else {
        told
    }
}

/// As many descriptors as the gateway was told of, and no more than the system gives the process: clients that fill what
/// is not there would leave none for discovery and the counter.
pub fn descriptors(told: usize) -> usize {
    let given = rlimit::Resource::NOFILE.get_soft().unwrap_or(u64::MAX);
    told.min(usize::try_from(given).unwrap_or(usize::MAX))
}

#[derive(Clone, Debug, PartialEq)]
pub struct Budget {
    pub clients: usize,
    pub upstream: usize,
    pub counter: usize,
    /// Bytes in buffers and open API calls from which no more API calls are taken.
    pub bytes: usize,
}

impl Budget {
    /// The counter gets one connection in 512 (one at least), app servers a third of all but no more than half
    /// of the rest: clients' API calls hold a third at most, and one that is out holds one there. The others are
    /// the clients', of whom many may come and say nothing. Half of the memory may lie in buffers.
    pub fn new(sockets: usize, memory_mb: usize) -> Budget {
        let (sockets, memory_mb) = (stated(sockets, SOCKETS), stated(memory_mb, MEMORY_MB));
        let counter = (sockets / 512).clamp(1, 4);
        let rest = sockets.saturating_sub(OWN + counter).max(2);
        let upstream = sockets.div_ceil(3).min(rest.div_ceil(2));
        Budget {
            clients: rest - upstream,
            upstream,
            counter,
            bytes: (memory_mb << 20) / 2,
        }
    }
}
