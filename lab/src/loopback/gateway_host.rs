//! The loopback address that the gateways of one run listen on.

use crate::error::LabError;
use std::io;
use std::net::{Ipv4Addr, SocketAddr, TcpListener, UdpSocket};
use std::sync::atomic::{AtomicU32, Ordering};

/// The first of the addresses that runs choose from. All of them belong to the loopback network.
const FIRST_ADDRESS: Ipv4Addr = Ipv4Addr::new(127, 64, 0, 0);
/// The number of addresses that runs choose from.
const ADDRESS_COUNT: u32 = 1 << 22;
/// The number of addresses that are tried before claiming an address fails.
const MAX_TRIED_ADDRESSES: u32 = 100;
/// The port that a run listens on for its whole duration, so that no other run can claim the same address.
const CLAIM_PORT: u16 = 19_999;
/// The first port for gateways. It is below the ports that the operating system assigns to sockets which are bound to
/// port 0.
const FIRST_GATEWAY_PORT: u16 = 20_000;

/// An address on which only the gateways of one run listen.
///
/// A gateway's port must be known before the gateway binds it, and must stay free while the gateway is down. On
/// 127.0.0.1 another process could be assigned the port in the meantime: the gateway would then wait for its port, and
/// the clients of the run would connect to a gateway of another run.
pub(super) struct GatewayHost {
    address: Ipv4Addr,
    next_port: u16,
    /// The listener on `CLAIM_PORT`. It is only held open and accepts no connections.
    _claim: TcpListener,
}

impl GatewayHost {
    /// Claims an address that no other run uses.
    ///
    /// Fails if `MAX_TRIED_ADDRESSES` addresses in a row are taken.
    pub(super) fn claim() -> Result<Self, LabError> {
        static CLAIMS: AtomicU32 = AtomicU32::new(0);
        let mut tried = 0;
        loop {
            let number = std::process::id()
                .wrapping_mul(MAX_TRIED_ADDRESSES)
                .wrapping_add(CLAIMS.fetch_add(1, Ordering::Relaxed));
            let address = Ipv4Addr::from(u32::from(FIRST_ADDRESS) + number % ADDRESS_COUNT);
            tried += 1;
            match TcpListener::bind((address, CLAIM_PORT)) {
                Ok(claim) => {
                    return Ok(GatewayHost {
                        address,
                        next_port: FIRST_GATEWAY_PORT,
                        _claim: claim,
                    })
                }
                Err(error) if tried == MAX_TRIED_ADDRESSES => return Err(address_error(error)),
                Err(_) => (),
            }
        }
    }

    /// Allocates an address for a gateway's listener or its datagrams. No address is returned twice.
    ///
    /// Fails if no port is left.
    pub(super) fn allocate(&mut self) -> Result<SocketAddr, LabError> {
        loop {
            let address = SocketAddr::from((self.address, self.next_port));
            self.next_port = self
                .next_port
                .checked_add(1)
                .ok_or_else(|| address_error(io::ErrorKind::AddrNotAvailable.into()))?;
            // The port may be in use by a program that listens on all addresses.
            let is_free = TcpListener::bind(address).is_ok() && UdpSocket::bind(address).is_ok();
            if is_free {
                return Ok(address);
            }
        }
    }
}

fn address_error(source: io::Error) -> LabError {
    LabError::System {
        failure: "cannot allocate a loopback address for the gateways",
        source,
    }
}

#[cfg(test)]
mod tests;
