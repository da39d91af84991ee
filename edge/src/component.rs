//! The components of the gateway, and the encoding of a component and a key as a token of the poll.

use mio::Token;

/// The component that owns a socket which the poll watches.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub(crate) enum Component {
    /// The socket on which clients connect.
    Listener,
    /// The process's signals.
    Signals,
    /// The datagram socket for messages between gateways.
    Peers,
    /// A client's connection.
    Client,
    /// A client's connection whose sending direction the gateway has shut down, see [`crate::lingering`].
    Lingering,
    /// A connection to an endpoint.
    Upstream,
    /// A connection to the shared counter.
    Counter,
    /// The connection to discovery.
    Discovery,
}

/// All components, in the order of their discriminants.
const COMPONENTS: [Component; 8] = [
    Component::Listener,
    Component::Signals,
    Component::Peers,
    Component::Client,
    Component::Lingering,
    Component::Upstream,
    Component::Counter,
    Component::Discovery,
];

impl Component {
    /// The token of one of the component's sockets. `key` identifies the socket within the component.
    pub(crate) fn token(self, key: usize) -> Token {
        Token(key * COMPONENTS.len() + self as usize)
    }

    /// The component and the key that a token stands for.
    pub(crate) fn from_token(token: Token) -> (Component, usize) {
        let component = COMPONENTS[token.0 % COMPONENTS.len()];
        let key = token.0 / COMPONENTS.len();
        (component, key)
    }
}

#[cfg(test)]
mod tests;
