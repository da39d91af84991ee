//! The socket and memory budget: divides the limits of the process among the components.

/// The number of file descriptors that are not connections to clients, endpoints or the counter: standard streams, poll,
/// signals, listener, peers, discovery (a connection and its successor), clock and log.
const RESERVED_SOCKETS: usize = 16;

/// The number of file descriptors if no limit is configured: the smallest limit known on the platform.
const DEFAULT_SOCKETS: usize = 256;

/// The memory in MiB if no limit is configured.
const DEFAULT_MEMORY_MIB: usize = 32;

/// The number of file descriptors per connection to the counter.
const SOCKETS_PER_COUNTER_CONNECTION: usize = 512;

/// The maximum number of connections to the counter.
const MAX_COUNTER_CONNECTIONS: usize = 4;

/// The smallest share of a client connection in bytes: room for a command without a body.
const MIN_CLIENT_SHARE_BYTES: usize = 4096;

/// What the state of a customer takes at most, in bytes.
const CUSTOMER_BYTES: usize = 512;

/// Returns a configured limit, or the default if it is 0, which means that none is configured.
fn limit_or(configured: usize, default: usize) -> usize {
    if configured == 0 {
        default
    } else {
        configured
    }
}

/// Returns the configured number of file descriptors, limited to what the system allows the process. With a budget above
/// the system's limit, clients could use up all descriptors and leave none for discovery and the counter.
pub(crate) fn available_descriptors(configured: usize) -> usize {
    let allowed = rlimit::Resource::NOFILE.get_soft().unwrap_or(u64::MAX);
    configured.min(usize::try_from(allowed).unwrap_or(usize::MAX))
}

/// The maximum number of connections of each component, and the limit of buffered bytes.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Budget {
    /// The maximum number of client connections.
    pub(crate) clients: usize,
    /// The maximum number of connections to endpoints.
    pub(crate) upstream: usize,
    /// The number of connections to the counter.
    pub(crate) counter: usize,
    /// How many bytes each client connection may take for its input, and as many for its answers, whatever the others take.
    pub(crate) client_share_bytes: usize,
    /// How many bytes all client connections together may take for commands that are larger than their shares.
    pub(crate) large_command_bytes: usize,
    /// How many bytes the answers of all client connections may take before none may exceed its share.
    pub(crate) answer_pool_bytes: usize,
    /// The limit of the bytes in buffers and open requests. Further requests are rejected while it would be exceeded if each
    /// open request received a value of the maximum size.
    pub(crate) bytes: usize,
    /// How many bytes small requests may take beyond that limit.
    pub(crate) small_request_bytes: usize,
    /// The maximum number of customers whose state is kept while nothing of theirs is under way.
    pub(crate) customers: usize,
}

impl Budget {
    /// Divides the limits, of which 0 means not configured:
    ///
    /// - The counter gets one connection per 512 descriptors, at least 1 and at most 4.
    /// - Endpoints get a third of all descriptors, but at most half of those left after the counter's and the reserved
    ///   ones. Requests of clients hold at most a third of all descriptors, and each request in flight needs one connection
    ///   to an endpoint.
    /// - Clients get the rest, since many may be connected without sending anything.
    /// - Half of the memory may be used for buffers. Half of that is for large commands of clients and an eighth for their
    ///   answers; an eighth is divided among the client connections as their shares for input, and another one as their
    ///   shares for answers.
    /// - An eighth of the memory is left to requests without a long body, and a sixteenth to the state of customers.
    pub(crate) fn new(configured_sockets: usize, configured_memory_mb: usize) -> Budget {
        let sockets = limit_or(configured_sockets, DEFAULT_SOCKETS);
        let memory_mb = limit_or(configured_memory_mb, DEFAULT_MEMORY_MIB);
        let counter = (sockets / SOCKETS_PER_COUNTER_CONNECTION).clamp(1, MAX_COUNTER_CONNECTIONS);
        let rest = sockets.saturating_sub(RESERVED_SOCKETS + counter).max(2);
        let upstream = sockets.div_ceil(3).min(rest.div_ceil(2));
        let clients = rest - upstream;
        let memory_bytes = memory_mb << 20;
        let bytes = memory_bytes / 2;
        Budget {
            clients,
            upstream,
            counter,
            client_share_bytes: (bytes / 8 / clients).max(MIN_CLIENT_SHARE_BYTES),
            large_command_bytes: bytes / 2,
            answer_pool_bytes: bytes / 8,
            bytes,
            small_request_bytes: memory_bytes / 8,
            customers: memory_bytes / 16 / CUSTOMER_BYTES,
        }
    }
}
