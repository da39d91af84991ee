//! The test's side of fault injection: makes system calls fail in the processes that a test starts.
//!
//! Tests include this file by its path. Linking the library would replace the system calls of the test itself too.

mod layout;

pub(crate) use layout::SystemCall;
use layout::{Slot, FILE_VARIABLE, SLOT_COUNT};
use std::ffi::OsString;
use std::fmt;
use std::fs::File;
use std::os::unix::fs::FileExt;
use std::path::PathBuf;
use std::str::FromStr;

/// The library's file name. The build places the library in the folder of the test executables.
const LIBRARY_FILE_NAME: &str = "libwellcrank_fault_injection.so";

/// The size of one slot of the shared file.
const SLOT_BYTES: usize = size_of::<i64>();

const NANOSECONDS_PER_SECOND: i64 = 1_000_000_000;

/// Makes system calls fail in the processes that are started with its [`environment`](FaultInjector::environment). It
/// owns the file that it shares with them, and removes it when it is dropped.
pub(crate) struct FaultInjector {
    path: PathBuf,
    file: File,
}

impl FaultInjector {
    /// Returns an injector that injects no faults yet. `name` must be unique within this test process.
    ///
    /// # Panics
    /// If the shared file can't be created.
    pub(crate) fn create(name: &str) -> FaultInjector {
        let file_name = format!("wellcrank-{}-{name}.faults", std::process::id());
        let path = std::env::temp_dir().join(file_name);
        std::fs::write(&path, [0; SLOT_COUNT * SLOT_BYTES])
            .expect("the shared file can be created");
        let file = File::options()
            .write(true)
            .open(&path)
            .expect("the shared file can be opened");
        FaultInjector { path, file }
    }

    /// Returns the environment variables with which a process loads the library and finds the shared file.
    ///
    /// # Panics
    /// If the library is not in the folder of the test executable.
    pub(crate) fn environment(&self) -> Vec<(String, OsString)> {
        let test_executable =
            std::env::current_exe().expect("the path of the test executable is known");
        let library = test_executable.with_file_name(LIBRARY_FILE_NAME);
        assert!(
            library.exists(),
            "{} does not exist; the build places it in the folder of the test executables",
            library.display()
        );
        vec![
            ("LD_PRELOAD".into(), library.into()),
            (FILE_VARIABLE.into(), self.path.clone().into()),
        ]
    }

    /// Makes the next `count` calls of a system call fail with an error number (`errno`).
    pub(crate) fn fail_calls(&self, call: SystemCall, error_number: i32, count: i64) {
        self.set(Slot::ErrorNumber(call), i64::from(error_number));
        self.set(Slot::FailureCount(call), count);
    }

    /// Limits each read and write to `max_bytes` bytes; 0 means no limit.
    pub(crate) fn limit_transfers(&self, max_bytes: i64) {
        self.set(Slot::MaxReadBytes, max_bytes);
        self.set(Slot::MaxWriteBytes, max_bytes);
    }

    /// Delays each of the next `count` writes by `milliseconds`.
    pub(crate) fn stall_writes(&self, milliseconds: i64, count: i64) {
        self.set(Slot::StallMilliseconds, milliseconds);
        self.set(Slot::StalledWrites, count);
    }

    /// Sets the wall clock `seconds` ahead of the machine's clock, or behind it if negative.
    pub(crate) fn step_wall_clock(&self, seconds: i64) {
        self.set(Slot::WallClockOffset, seconds * NANOSECONDS_PER_SECOND);
    }

    fn set(&self, slot: Slot, value: i64) {
        let offset = slot.index() * SLOT_BYTES;
        self.file
            .write_all_at(&value.to_ne_bytes(), offset as u64)
            .expect("the shared file can be written");
    }
}

impl Drop for FaultInjector {
    fn drop(&mut self) {
        // An error is ignored: a file that stays in the temporary folder does no harm.
        let _ = std::fs::remove_file(&self.path);
    }
}

/// The name is not the name of a system call that can be made to fail.
#[derive(Debug)]
pub(crate) struct UnknownSystemCall(String);

impl fmt::Display for UnknownSystemCall {
    fn fmt(&self, out: &mut fmt::Formatter) -> fmt::Result {
        write!(
            out,
            "unknown system call '{}'; expected accept, socket, connect, register, wait, read or write",
            self.0
        )
    }
}

impl std::error::Error for UnknownSystemCall {}

impl FromStr for SystemCall {
    type Err = UnknownSystemCall;

    /// Returns the system call with this name in scenario files.
    fn from_str(name: &str) -> Result<SystemCall, UnknownSystemCall> {
        Ok(match name {
            "accept" => SystemCall::Accept,
            "socket" => SystemCall::Socket,
            "connect" => SystemCall::Connect,
            "register" => SystemCall::PollAdd,
            "wait" => SystemCall::PollWait,
            "read" => SystemCall::Read,
            "write" => SystemCall::Write,
            _ => return Err(UnknownSystemCall(name.to_string())),
        })
    }
}
