//! The components of the gateway, and the poll's tokens by which an event finds the component that it is for.

use mio::Token;

/// What a socket that the poll watches belongs to.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub(crate) enum Component {
    /// The socket on which clients connect.
    Listener,
    /// The process's signals.
    Signals,
    /// The datagram socket to other gateways.
    Peers,
    /// A client's connection.
    Client,
    /// A client's connection that the gateway has ended and the client has not yet.
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
    /// The token of one of the component's sockets; `key` is what the component itself knows the socket by.
    pub(crate) fn token(self, key: usize) -> Token {
        Token(key * COMPONENTS.len() + self as usize)
    }

    /// The component that a token belongs to, and the key of the socket there.
    pub(crate) fn from_token(token: Token) -> (Component, usize) {
        let component = COMPONENTS[token.0 % COMPONENTS.len()];
        let key = token.0 / COMPONENTS.len();
        (component, key)
    }
}

#[cfg(test)]
mod tests;
