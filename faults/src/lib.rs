//! Loaded into an edge node by `LD_PRELOAD`, this library stands before the system calls by which it meets the network
//! and the clocks, and has them fail or be short as the [`page`] says. What is not to fail goes to the kernel unchanged.

pub mod page;

use libc::{c_int, c_void, clockid_t, epoll_event, size_t, sockaddr, socklen_t, ssize_t, timespec};
use std::fs::OpenOptions;
use std::os::fd::AsRawFd;
use std::sync::atomic::{AtomicI64, Ordering};
use std::sync::OnceLock;

type Page = [AtomicI64; page::NUMBERS];

/// The page that the environment names, mapped once; none: nothing fails.
fn shared() -> Option<&'static Page> {
    static PAGE: OnceLock<Option<&'static Page>> = OnceLock::new();
    *PAGE.get_or_init(|| {
        let file = OpenOptions::new()
            .read(true)
            .write(true)
            .open(std::env::var_os(page::FILE)?)
            .ok()?;
        let (length, access) = (size_of::<Page>(), libc::PROT_READ | libc::PROT_WRITE);
        // SAFETY: the file is a whole page long and stays mapped as long as the process lives.
        let at = unsafe {
            libc::mmap(
                std::ptr::null_mut(),
                length,
                access,
                libc::MAP_SHARED,
                file.as_raw_fd(),
                0,
            )
        };
        // SAFETY: mapped above, aligned to a page, and any bytes are numbers.
        (at != libc::MAP_FAILED).then(|| unsafe { &*at.cast::<Page>() })
    })
}

fn number(place: usize) -> i64 {
    shared().map_or(0, |page| page[place].load(Ordering::Relaxed))
}

/// Takes one off a number that is above zero; says whether there was one.
fn take_one(place: usize) -> bool {
    let less = |left: i64| (left > 0).then(|| left - 1);
    shared().is_some_and(|page| {
        page[place]
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, less)
            .is_ok()
    })
}

/// Whether this call is to fail; its error number is set.
fn fails(call: &str) -> bool {
    let Some(error) = page::error_of(call).filter(|error| take_one(error + 1)) else {
        return false;
    };
    // SAFETY: the place of this thread's error number.
    unsafe { *libc::__errno_location() = number(error) as c_int };
    true
}

fn at_most(place: usize, length: size_t) -> size_t {
    match number(place) {
        0 => length,
        most => length.min(most as size_t),
    }
}

/// Passes a call on to the kernel, unless it is to fail.
macro_rules! pass_on {
    ($call:literal, $number:expr, $($argument:expr),*) => {
        if fails($call) { -1 } else { libc::syscall($number, $($argument),*) as _ }
    };
}

/// # Safety
/// As clock_gettime(2).
#[no_mangle]
pub unsafe extern "C" fn clock_gettime(clock: clockid_t, at: *mut timespec) -> c_int {
    let done = libc::syscall(libc::SYS_clock_gettime, clock, at) as c_int;
    if done == 0 && clock == libc::CLOCK_REALTIME {
        const SECOND: i64 = 1_000_000_000;
        let nanoseconds = (*at).tv_nsec + number(page::WALL_AHEAD);
        (*at).tv_sec += nanoseconds.div_euclid(SECOND);
        (*at).tv_nsec = nanoseconds.rem_euclid(SECOND);
    }
    done
}

/// # Safety
/// As accept4(2).
#[no_mangle]
pub unsafe extern "C" fn accept4(
    fd: c_int,
    from: *mut sockaddr,
    length: *mut socklen_t,
    flags: c_int,
) -> c_int {
    pass_on!("accept", libc::SYS_accept4, fd, from, length, flags)
}

/// # Safety
/// As socket(2).
#[no_mangle]
pub unsafe extern "C" fn socket(domain: c_int, kind: c_int, protocol: c_int) -> c_int {
    pass_on!("socket", libc::SYS_socket, domain, kind, protocol)
}

/// # Safety
/// As connect(2).
#[no_mangle]
pub unsafe extern "C" fn connect(fd: c_int, to: *const sockaddr, length: socklen_t) -> c_int {
    pass_on!("connect", libc::SYS_connect, fd, to, length)
}

/// # Safety
/// As epoll_ctl(2). Only a descriptor that is added can fail: to change or remove one needs no memory.
#[no_mangle]
pub unsafe extern "C" fn epoll_ctl(
    poll: c_int,
    what: c_int,
    fd: c_int,
    event: *mut epoll_event,
) -> c_int {
    if what == libc::EPOLL_CTL_ADD {
        return pass_on!("register", libc::SYS_epoll_ctl, poll, what, fd, event);
    }
    libc::syscall(libc::SYS_epoll_ctl, poll, what, fd, event) as c_int
}

/// # Safety
/// As epoll_wait(2).
#[no_mangle]
pub unsafe extern "C" fn epoll_wait(
    poll: c_int,
    events: *mut epoll_event,
    most: c_int,
    wait: c_int,
) -> c_int {
    pass_on!("wait", libc::SYS_epoll_wait, poll, events, most, wait)
}

/// # Safety
/// As recv(2).
#[no_mangle]
pub unsafe extern "C" fn recv(fd: c_int, to: *mut c_void, length: size_t, flags: c_int) -> ssize_t {
    let (length, nobody) = (at_most(page::MOST_READ, length), std::ptr::null::<c_void>());
    pass_on!(
        "read",
        libc::SYS_recvfrom,
        fd,
        to,
        length,
        flags,
        nobody,
        nobody
    )
}

/// # Safety
/// As send(2).
#[no_mangle]
pub unsafe extern "C" fn send(
    fd: c_int,
    from: *const c_void,
    length: size_t,
    flags: c_int,
) -> ssize_t {
    if take_one(page::HELD_UP) {
        std::thread::sleep(std::time::Duration::from_millis(
            number(page::HELD_UP_MS) as u64
        ));
    }
    let (length, nobody) = (
        at_most(page::MOST_WRITTEN, length),
        std::ptr::null::<c_void>(),
    );
    pass_on!(
        "write",
        libc::SYS_sendto,
        fd,
        from,
        length,
        flags,
        nobody,
        0
    )
}
