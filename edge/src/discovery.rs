//! The endpoint list: follows it at discovery over HTTP/1.1, and decodes what discovery sends.

mod codec;
mod follower;
mod http;

pub(crate) use codec::{EndpointListMessage, ListedEndpoint, ParsedUpdate};
pub(crate) use follower::DiscoveryFollower;

#[cfg(test)]
pub(crate) mod tests;
