//! The loopback address of the gateways of one run.

use crate::error::LabError;
use std::io;
use std::net::{Ipv4Addr, SocketAddr, TcpListener, UdpSocket};
use std::sync::atomic::{AtomicU32, Ordering};

/// The first of the addresses that runs choose from, and how many there are; all belong to the loopback interface.
const FIRST_HOST: Ipv4Addr = Ipv4Addr::new(127, 64, 0, 0);
const HOSTS: u32 = 1 << 22;
/// The most addresses that are tried before a run is given up.
const MAX_TRIED: u32 = 100;
/// A run listens here as long as it lasts, so that no other run takes the same address.
const CLAIM_PORT: u16 = 19_999;
/// Gateways' ports begin here, below those that the system gives to sockets that ask for any port.
const FIRST_GATEWAY_PORT: u16 = 20_000;

/// An address on which nobody but the gateways of one run listens.
///
/// A gateway's port has to be known before the gateway binds it, and has to stay free while the gateway is down. On
/// 127.0.0.1 it may be given to somebody else meanwhile: the gateway then waits for its port, and the clients of the
/// run talk to a gateway of another run.
pub(super) struct GatewayHost {
    address: Ipv4Addr,
    next_port: u16,
    /// Held open, never accepted from.
    _claim: TcpListener,
}

impl GatewayHost {
    /// Claims an address that no other run has.
    pub(super) fn claim() -> Result<Self, LabError> {
        static CLAIMS: AtomicU32 = AtomicU32::new(0);
        let mut tried = 0;
        loop {
            let number = std::process::id()
                .wrapping_mul(MAX_TRIED)
                .wrapping_add(CLAIMS.fetch_add(1, Ordering::Relaxed));
            let address = Ipv4Addr::from(u32::from(FIRST_HOST) + number % HOSTS);
            tried += 1;
            match TcpListener::bind((address, CLAIM_PORT)) {
                Ok(claim) => {
                    return Ok(GatewayHost {
                        address,
                        next_port: FIRST_GATEWAY_PORT,
                        _claim: claim,
                    })
                }
                Err(error) if tried == MAX_TRIED => return Err(address_error(error)),
                Err(_) => (),
            }
        }
    }

    /// An address for a gateway's listener or its datagrams; none is given twice.
    pub(super) fn allocate(&mut self) -> Result<SocketAddr, LabError> {
        loop {
            let address = SocketAddr::from((self.address, self.next_port));
            self.next_port = self
                .next_port
                .checked_add(1)
                .ok_or_else(|| address_error(io::ErrorKind::AddrNotAvailable.into()))?;
            // A program that listens on all addresses may have the port.
            let is_free = TcpListener::bind(address).is_ok() && UdpSocket::bind(address).is_ok();
            if is_free {
                return Ok(address);
            }
        }
    }
}

fn address_error(source: io::Error) -> LabError {
    LabError::System {
        operation: "an address for gateways",
        source,
    }
}

#[cfg(test)]
mod tests;
