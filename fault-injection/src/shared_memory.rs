//! The library's access to the memory that it shares with a test. Its layout is described in [`layout`](crate::layout).

use crate::layout::{Slot, FILE_VARIABLE, SLOT_COUNT};
use std::fs::{File, OpenOptions};
use std::os::fd::AsRawFd;
use std::sync::atomic::{AtomicI64, Ordering};
use std::sync::OnceLock;

type Slots = [AtomicI64; SLOT_COUNT];

/// Returns the value of a slot, or 0 if no memory is shared.
pub(crate) fn value(slot: Slot) -> i64 {
    slots().map_or(0, |slots| slots[slot.index()].load(Ordering::Relaxed))
}

/// Decrements a slot whose value is above zero. Returns false, without a change, if the value is not above zero or no
/// memory is shared.
pub(crate) fn decrement(slot: Slot) -> bool {
    let one_less = |count: i64| (count > 0).then(|| count - 1);
    slots().is_some_and(|slots| {
        slots[slot.index()]
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, one_less)
            .is_ok()
    })
}

/// Returns the shared memory, which is mapped at the first use, or `None` if the environment variable is not set or its
/// file can't be mapped.
fn slots() -> Option<&'static Slots> {
    static SLOTS: OnceLock<Option<&'static Slots>> = OnceLock::new();
    *SLOTS.get_or_init(|| {
        let path = std::env::var_os(FILE_VARIABLE)?;
        let file = OpenOptions::new().read(true).write(true).open(path).ok()?;
        map_slots(&file)
    })
}

fn map_slots(file: &File) -> Option<&'static Slots> {
    // SAFETY: the kernel chooses a free address, so no existing mapping of the process is replaced.
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
    // SAFETY: the mapping is aligned to a page and never unmapped, the test created the file with the size of all
    // slots, and any bytes are valid integers. The test writes to the file while this process reads it, which is sound
    // because this process accesses the slots only atomically.
    Some(unsafe { &*address.cast::<Slots>() })
}
