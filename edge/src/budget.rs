//! The socket and memory budget: how much of the process's limits each component may hold.

/// Descriptors that are neither clients' nor endpoints' nor the counter's: standard streams, poll, signals, listener,
/// peers, discovery (an old connection and its successor), the clock's and the log's.
const RESERVED_SOCKETS: usize = 16;

/// The descriptors of a gateway that was not told its limit: the least that the platform is known to give.
const DEFAULT_SOCKETS: usize = 256;

/// The memory of a gateway that was not told its limit, in MiB.
const DEFAULT_MEMORY_MB: usize = 32;

/// So many descriptors bring one connection to the counter.
const SOCKETS_PER_COUNTER_CONNECTION: usize = 512;

/// The most connections to the counter.
const MAX_COUNTER_CONNECTIONS: usize = 4;

/// A configured limit; zero stands for none.
fn limit_or(configured: usize, default: usize) -> usize {
    if configured == 0 {
        default
    } else {
        configured
    }
}

/// As many descriptors as are configured, and no more than the system gives the process: clients that fill what is not
/// there would leave none for discovery and the counter.
pub(crate) fn available_descriptors(configured: usize) -> usize {
    let given = rlimit::Resource::NOFILE.get_soft().unwrap_or(u64::MAX);
    configured.min(usize::try_from(given).unwrap_or(usize::MAX))
}

/// What each component may hold.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Budget {
    /// Connections of clients.
    pub(crate) clients: usize,
    /// Connections to endpoints.
    pub(crate) upstream: usize,
    /// Connections to the counter.
    pub(crate) counter: usize,
    /// Bytes in buffers and open requests from which no more requests are taken.
    pub(crate) bytes: usize,
}

impl Budget {
    /// The counter gets one connection in 512 (one at least), endpoints a third of all but no more than half of the rest:
    /// clients' requests hold a third at most, and one that is in flight holds one there. The others are the clients', of
    /// whom many may come and say nothing. Half of the memory may lie in buffers.
    pub(crate) fn new(configured_sockets: usize, configured_memory_mb: usize) -> Budget {
        let sockets = limit_or(configured_sockets, DEFAULT_SOCKETS);
        let memory_mb = limit_or(configured_memory_mb, DEFAULT_MEMORY_MB);
        let counter = (sockets / SOCKETS_PER_COUNTER_CONNECTION).clamp(1, MAX_COUNTER_CONNECTIONS);
        let rest = sockets.saturating_sub(RESERVED_SOCKETS + counter).max(2);
        let upstream = sockets.div_ceil(3).min(rest.div_ceil(2));
        Budget {
            clients: rest - upstream,
            upstream,
            counter,
            bytes: (memory_mb << 20) / 2,
        }
    }
}
