use super::*;

const SERVER: ServerId = ServerId(1);
const OTHER_SERVER: ServerId = ServerId(2);

fn at(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

/// A pool of three idle connections: two to `SERVER`, last used at 1 s and 3 s, and one to `OTHER_SERVER`, last used at
/// 2 s.
fn pool() -> ConnectionPool {
    let mut pool = ConnectionPool::default();
    for (server, last_used) in [(SERVER, 1), (OTHER_SERVER, 2), (SERVER, 3)] {
        pool.open();
        pool.put_idle(server, at(last_used));
    }
    pool
}

#[test]
fn the_connection_used_last_is_taken_first() {
    let mut pool = pool();
    assert!(pool.take_idle(SERVER));
    // The remaining connection was last used at 1 s, so it becomes stale before the one to the other server.
    assert_eq!(pool.close_stale(at(5), at(4)), [SERVER]);
    assert!(!pool.take_idle(SERVER));
}

#[test]
fn a_full_pool_evicts_the_connection_that_was_idle_for_longest() {
    let mut pool = pool();
    assert!(pool.is_full(3) && !pool.is_full(4));
    assert_eq!(pool.evict_oldest_idle(), Some(SERVER));
    assert_eq!(pool.evict_oldest_idle(), Some(OTHER_SERVER));
    assert_eq!(pool.evict_oldest_idle(), Some(SERVER));
    assert_eq!(pool.evict_oldest_idle(), None);
    assert!(pool.is_full(0) && !pool.is_full(1));
}

#[test]
fn stale_and_reset_connections_are_counted_as_closed() {
    let mut pool = pool();
    assert_eq!(pool.close_stale(at(4), at(2)), [SERVER, OTHER_SERVER]);
    assert!(pool.is_full(1) && !pool.is_full(2));
    assert_eq!(pool.drop_idle_to(SERVER), 1);
    assert!(!pool.is_full(1));
    assert_eq!(pool.idle_servers().count(), 0);
}
