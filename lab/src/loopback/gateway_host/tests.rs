use super::*;
use std::collections::BTreeSet;

#[test]
fn concurrent_runs_have_different_addresses() {
    let hosts: Vec<GatewayHost> = (0..20).map(|_| GatewayHost::claim().unwrap()).collect();
    let addresses: BTreeSet<Ipv4Addr> = hosts.iter().map(|host| host.address).collect();
    assert_eq!(addresses.len(), hosts.len());
}

#[test]
fn an_address_claimed_by_a_run_cannot_be_claimed_by_another() {
    let host = GatewayHost::claim().unwrap();
    assert!(TcpListener::bind((host.address, CLAIM_PORT)).is_err());
}

#[test]
fn a_run_allocates_no_address_twice() {
    let mut host = GatewayHost::claim().unwrap();
    let addresses: BTreeSet<SocketAddr> = (0..50).map(|_| host.allocate().unwrap()).collect();
    assert_eq!(addresses.len(), 50);
}

#[test]
fn a_port_in_use_is_skipped() {
    let mut host = GatewayHost::claim().unwrap();
    let in_use = TcpListener::bind((host.address, host.next_port)).unwrap();
    assert_ne!(host.allocate().unwrap(), in_use.local_addr().unwrap());
}
