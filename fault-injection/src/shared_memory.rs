//! The library's view of the memory that it shares with a test, which the [`layout`](crate::layout) describes.

use crate::layout::{Slot, FILE_VARIABLE, SLOT_COUNT};
use std::fs::{File, OpenOptions};
use std::os::fd::AsRawFd;
use std::sync::atomic::{AtomicI64, Ordering};
use std::sync::OnceLock;

type Slots = [AtomicI64; SLOT_COUNT];

/// The value of a slot; 0 where no memory is shared.
pub(crate) fn value(slot: Slot) -> i64 {
    slots().map_or(0, |slots| slots[slot.index()].load(Ordering::Relaxed))
}

/// Takes one off a slot that is above zero; false if it was not.
pub(crate) fn decrement(slot: Slot) -> bool {
    let one_less = |count: i64| (count > 0).then(|| count - 1);
    slots().is_some_and(|slots| {
        slots[slot.index()]
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, one_less)
            .is_ok()
    })
}

/// The shared memory, mapped at the first use; none if the environment names no file that can be mapped.
fn slots() -> Option<&'static Slots> {
    static SLOTS: OnceLock<Option<&'static Slots>> = OnceLock::new();
    *SLOTS.get_or_init(|| {
        let path = std::env::var_os(FILE_VARIABLE)?;
        let file = OpenOptions::new().read(true).write(true).open(path).ok()?;
        map_slots(&file)
    })
}

fn map_slots(file: &File) -> Option<&'static Slots> {
    // SAFETY: the kernel chooses an address that is free, so no memory of the process is replaced.
    let address = unsafe {
        libc::mmap(
            std::ptr::null_mut(),
            size_of::<Slots>(),
            libc::PROT_READ | libc::PROT_WRITE,
            libc::MAP_SHARED,
            file.as_raw_fd(),
            0,
        )
    };
    if address == libc::MAP_FAILED {
        return None;
    }
    // SAFETY: the mapping is aligned to a page and never unmapped, the test has made the file as long as all slots, and
    // any bytes are valid numbers. The test writes while the process reads, which is sound as all accesses are atomic.
    Some(unsafe { &*address.cast::<Slots>() })
}
