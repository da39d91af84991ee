use super::*;
use crate::component::Component;
use mio::Poll;

/// Returns a poll and a reactor with default settings and the budget of these limits, without log.
pub(crate) fn new_reactor(sockets: usize, memory_mb: usize) -> (Poll, Reactor) {
    let poll = Poll::new().expect("a poll");
    let registry = poll.registry().try_clone().expect("a registry");
    let budget = Budget::new(sockets, memory_mb);
    let log = Logger::root(slog::Discard, slog::o!());
    let reactor = Reactor::new(registry, Rc::new(Settings::default()), budget, log);
    (poll, reactor)
}

#[test]
fn a_deferred_read_comes_once_and_in_the_order_of_deferral() {
    let (_poll, mut reactor) = new_reactor(64, 32);
    assert_eq!(reactor.poll_timeout(), None);
    let tokens = [3, 1, 2].map(|key| Component::Client.token(key));
    for token in tokens.into_iter().chain(tokens) {
        reactor.defer_read(token);
    }
    // The poll does not wait for events while reads are left to do.
    assert_eq!(reactor.poll_timeout(), Some(Duration::ZERO));
    assert_eq!(reactor.deferred_reads(), tokens.len());
    // One that is put off again comes behind those that have waited longer.
    assert_eq!(reactor.take_deferred_read(), Some(tokens[0]));
    reactor.defer_read(tokens[0]);
    let order = [tokens[1], tokens[2], tokens[0]];
    assert_eq!(order.map(|_| reactor.take_deferred_read()), order.map(Some));
    assert_eq!(reactor.take_deferred_read(), None);
    assert_eq!(reactor.poll_timeout(), None);
}
