//! Fault injection for tests of the edge node. Loaded into a process by `LD_PRELOAD`, this library takes the place of
//! the C library's functions for the network and the clocks, and makes them fail, move less or tell another time as the
//! test says in [shared memory](shared_memory). All other calls go to the kernel unchanged.

#![allow(
    unsafe_code,
    reason = "functions of the C library are replaced, and memory is shared with another process"
)]
#![deny(unsafe_op_in_unsafe_fn)]

mod layout;
mod shared_memory;

use layout::{Slot, SystemCall};
use libc::{c_int, c_void, clockid_t, epoll_event, size_t, sockaddr, socklen_t, ssize_t, timespec};
use std::time::Duration;

const NANOSECONDS_PER_SECOND: i64 = 1_000_000_000;

/// Makes a system call, or fails as the test has said. To be used in functions whose callers keep the call's contract.
macro_rules! call_or_fail {
    ($call:expr, $number:expr, $($argument:expr),*) => {
        if fails($call) {
            -1
        } else {
            // SAFETY: the caller keeps the contract of the system call; its arguments go on as they are, or with a
            // length that is shorter.
            unsafe { libc::syscall($number, $($argument),*) as _ }
        }
    };
}

/// Whether this call is to fail; if so, the thread's error number is set.
fn fails(call: SystemCall) -> bool {
    if !shared_memory::decrement(Slot::FailureCount(call)) {
        return false;
    }
    let error_number = shared_memory::value(Slot::ErrorNumber(call)) as c_int;
    // SAFETY: the C library gives the address of this thread's own error number, which is always valid.
    unsafe { *libc::__errno_location() = error_number };
    true
}

/// The length of a transfer, cut to the limit that a slot holds.
fn limited(length: size_t, limit: Slot) -> size_t {
    match shared_memory::value(limit) {
        0 => length,
        max_bytes => length.min(max_bytes as size_t),
    }
}

/// Waits, if this write is to be stalled.
fn stall_write() {
    if shared_memory::decrement(Slot::StalledWrites) {
        let milliseconds = shared_memory::value(Slot::StallMilliseconds) as u64;
        std::thread::sleep(Duration::from_millis(milliseconds));
    }
}

/// Adds the offset of the wall clock to a time.
fn step_wall_clock(time: &mut timespec) {
    let nanoseconds = time.tv_nsec + shared_memory::value(Slot::WallClockOffset);
    time.tv_sec += nanoseconds.div_euclid(NANOSECONDS_PER_SECOND);
    time.tv_nsec = nanoseconds.rem_euclid(NANOSECONDS_PER_SECOND);
}

/// Tells the time of a clock, the wall clock's with its offset.
///
/// # Safety
/// As clock_gettime(2).
#[no_mangle]
unsafe extern "C" fn clock_gettime(clock: clockid_t, time: *mut timespec) -> c_int {
    // SAFETY: the caller keeps the contract of the system call.
    let result = unsafe { libc::syscall(libc::SYS_clock_gettime, clock, time) } as c_int;
    if result == 0 && clock == libc::CLOCK_REALTIME {
        // SAFETY: the kernel has just written the time there, and the caller lends it until this function returns.
        step_wall_clock(unsafe { &mut *time });
    }
    result
}

/// Accepts a connection, or fails.
///
/// # Safety
/// As accept4(2).
#[no_mangle]
unsafe extern "C" fn accept4(
    listener: c_int,
    address: *mut sockaddr,
    address_length: *mut socklen_t,
    flags: c_int,
) -> c_int {
    call_or_fail!(
        SystemCall::Accept,
        libc::SYS_accept4,
        listener,
        address,
        address_length,
        flags
    )
}

/// Makes a socket, or fails.
///
/// # Safety
/// As socket(2).
#[no_mangle]
unsafe extern "C" fn socket(domain: c_int, kind: c_int, protocol: c_int) -> c_int {
    call_or_fail!(SystemCall::Socket, libc::SYS_socket, domain, kind, protocol)
}

/// Begins a connection, or fails.
///
/// # Safety
/// As connect(2).
#[no_mangle]
unsafe extern "C" fn connect(
    socket: c_int,
    address: *const sockaddr,
    address_length: socklen_t,
) -> c_int {
    call_or_fail!(
        SystemCall::Connect,
        libc::SYS_connect,
        socket,
        address,
        address_length
    )
}

/// Changes what a poll waits for; to add a descriptor may fail.
///
/// # Safety
/// As epoll_ctl(2).
#[no_mangle]
unsafe extern "C" fn epoll_ctl(
    poll: c_int,
    operation: c_int,
    descriptor: c_int,
    event: *mut epoll_event,
) -> c_int {
    if operation == libc::EPOLL_CTL_ADD {
        return call_or_fail!(
            SystemCall::PollAdd,
            libc::SYS_epoll_ctl,
            poll,
            operation,
            descriptor,
            event
        );
    }
    // SAFETY: the caller keeps the contract of the system call.
    unsafe { libc::syscall(libc::SYS_epoll_ctl, poll, operation, descriptor, event) as c_int }
}

/// Waits for a poll's events, or fails.
///
/// # Safety
/// As epoll_wait(2).
#[no_mangle]
unsafe extern "C" fn epoll_wait(
    poll: c_int,
    events: *mut epoll_event,
    max_events: c_int,
    timeout_milliseconds: c_int,
) -> c_int {
    call_or_fail!(
        SystemCall::PollWait,
        libc::SYS_epoll_wait,
        poll,
        events,
        max_events,
        timeout_milliseconds
    )
}

/// Reads from a socket no more than the limit, or fails.
///
/// # Safety
/// As recv(2).
#[no_mangle]
unsafe extern "C" fn recv(
    socket: c_int,
    buffer: *mut c_void,
    length: size_t,
    flags: c_int,
) -> ssize_t {
    let no_address = std::ptr::null::<c_void>();
    call_or_fail!(
        SystemCall::Read,
        libc::SYS_recvfrom,
        socket,
        buffer,
        limited(length, Slot::MaxReadBytes),
        flags,
        no_address,
        no_address
    )
}

/// Writes to a socket no more than the limit, perhaps after a stall, or fails.
///
/// # Safety
/// As send(2).
#[no_mangle]
unsafe extern "C" fn send(
    socket: c_int,
    buffer: *const c_void,
    length: size_t,
    flags: c_int,
) -> ssize_t {
    stall_write();
    let no_address = std::ptr::null::<c_void>();
    call_or_fail!(
        SystemCall::Write,
        libc::SYS_sendto,
        socket,
        buffer,
        limited(length, Slot::MaxWriteBytes),
        flags,
        no_address,
        0
    )
}
