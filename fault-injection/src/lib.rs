//! Fault injection for tests of the edge node. When it is loaded into a process with `LD_PRELOAD`, this library
//! replaces functions of the C library for the network and the clock. Depending on the values that the test writes to
//! [shared memory](shared_memory), these functions fail, transfer fewer bytes, are delayed or return a different time.
//! Otherwise they pass the call to the kernel unchanged.

#![allow(
    unsafe_code,
    reason = "replaces functions of the C library and shares memory with another process"
)]
#![deny(unsafe_op_in_unsafe_fn)]

mod layout;
mod shared_memory;

use layout::{Slot, SystemCall};
use libc::{c_int, c_void, clockid_t, epoll_event, size_t, sockaddr, socklen_t, ssize_t, timespec};
use std::time::Duration;

const NANOSECONDS_PER_SECOND: i64 = 1_000_000_000;

/// Makes a system call, or returns -1 if the test has requested a failure. Must be used only in functions whose safety
/// section requires the caller to keep the contract of the system call.
macro_rules! call_or_fail {
    ($call:expr, $number:expr, $($argument:expr),*) => {
        if inject_failure($call) {
            -1
        } else {
            // SAFETY: the caller keeps the contract of the system call. The arguments are passed on unchanged, except
            // that a length may be shorter.
            unsafe { libc::syscall($number, $($argument),*) as _ }
        }
    };
}

/// Returns whether this call must fail. If so, sets the thread's error number and uses up one of the requested
/// failures.
fn inject_failure(call: SystemCall) -> bool {
    if !shared_memory::decrement(Slot::FailureCount(call)) {
        return false;
    }
    let error_number = shared_memory::value(Slot::ErrorNumber(call)) as c_int;
    // SAFETY: the C library returns the address of this thread's error number, which is always valid.
    unsafe { *libc::__errno_location() = error_number };
    true
}

/// Returns the length of a transfer in bytes, reduced to the limit in a slot.
fn limit_length(length: size_t, limit: Slot) -> size_t {
    match shared_memory::value(limit) {
        0 => length,
        max_bytes => length.min(max_bytes as size_t),
    }
}

/// Delays this write if the test has requested that.
fn stall_write() {
    if shared_memory::decrement(Slot::StalledWrites) {
        let milliseconds = shared_memory::value(Slot::StallMilliseconds) as u64;
        std::thread::sleep(Duration::from_millis(milliseconds));
    }
}

/// Adds the wall clock's offset to a time.
fn add_wall_clock_offset(time: &mut timespec) {
    let nanoseconds = time.tv_nsec + shared_memory::value(Slot::WallClockOffset);
    time.tv_sec += nanoseconds.div_euclid(NANOSECONDS_PER_SECOND);
    time.tv_nsec = nanoseconds.rem_euclid(NANOSECONDS_PER_SECOND);
}

/// Returns the time of a clock, to which the offset is added if it is the wall clock.
///
/// # Safety
/// The caller keeps the contract of clock_gettime(2).
#[no_mangle]
unsafe extern "C" fn clock_gettime(clock: clockid_t, time: *mut timespec) -> c_int {
    // SAFETY: the caller keeps the contract of the system call.
    let result = unsafe { libc::syscall(libc::SYS_clock_gettime, clock, time) } as c_int;
    if result == 0 && clock == libc::CLOCK_REALTIME {
        // SAFETY: the kernel has written the time to this address, and the caller keeps it valid until this function
        // returns.
        add_wall_clock_offset(unsafe { &mut *time });
    }
    result
}

/// Accepts a connection, unless the call must fail.
///
/// # Safety
/// The caller keeps the contract of accept4(2).
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

/// Creates a socket, unless the call must fail.
///
/// # Safety
/// The caller keeps the contract of socket(2).
#[no_mangle]
unsafe extern "C" fn socket(domain: c_int, kind: c_int, protocol: c_int) -> c_int {
    call_or_fail!(SystemCall::Socket, libc::SYS_socket, domain, kind, protocol)
}

/// Starts to connect a socket, unless the call must fail.
///
/// # Safety
/// The caller keeps the contract of connect(2).
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

/// Changes the descriptors of an epoll instance. Only a call that adds a descriptor can be made to fail.
///
/// # Safety
/// The caller keeps the contract of epoll_ctl(2).
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

/// Waits for events of an epoll instance, unless the call must fail. The call is epoll_pwait without a signal mask,
/// which is the same and, unlike epoll_wait, has a number on every kind of machine.
///
/// # Safety
/// The caller keeps the contract of epoll_wait(2).
#[no_mangle]
unsafe extern "C" fn epoll_wait(
    poll: c_int,
    events: *mut epoll_event,
    max_events: c_int,
    timeout_milliseconds: c_int,
) -> c_int {
    let no_signal_mask = std::ptr::null::<c_void>();
    let unused_mask_size: size_t = 0;
    call_or_fail!(
        SystemCall::PollWait,
        libc::SYS_epoll_pwait,
        poll,
        events,
        max_events,
        timeout_milliseconds,
        no_signal_mask,
        unused_mask_size
    )
}

/// Reads from a socket, at most [`Slot::MaxReadBytes`] bytes if that limit is set, unless the call must fail.
///
/// # Safety
/// The caller keeps the contract of recv(2).
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
        limit_length(length, Slot::MaxReadBytes),
        flags,
        no_address,
        no_address
    )
}

/// Writes to a socket, at most [`Slot::MaxWriteBytes`] bytes if that limit is set, unless the call must fail. The write
/// may be delayed first.
///
/// # Safety
/// The caller keeps the contract of send(2).
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
        limit_length(length, Slot::MaxWriteBytes),
        flags,
        no_address,
        0
    )
}
