//! The client of discovery: follows the endpoint list over HTTP/1.1 and decodes discovery's responses.

mod codec;
mod follower;
mod http;

pub(crate) use codec::{EndpointListMessage, ListedEndpoint, ParsedUpdate};
pub(crate) use follower::DiscoveryFollower;

#[cfg(test)]
pub(crate) mod tests;
