//! What a test holds of the library: where the build left it, and a page of its own by which the system calls of the
//! processes that it starts fail. Tests include this file.

#[path = "page.rs"]
pub mod page;

use std::ffi::OsString;
use std::fs::File;
use std::os::unix::fs::FileExt;
use std::path::PathBuf;

/// A page in a file, removed with it.
pub struct Faults {
    path: PathBuf,
    file: File,
}

impl Faults {
    /// `name` tells the pages of one process apart.
    pub fn new(name: &str) -> Faults {
        let path =
            std::env::temp_dir().join(format!("wellcrank-{}-{name}.faults", std::process::id()));
        std::fs::write(&path, [0; 8 * page::NUMBERS]).expect("a file for the page");
        let file = File::options().write(true).open(&path).expect("the page");
        Faults { path, file }
    }

    /// What the environment of a process has to hold.
    pub fn environment(&self) -> Vec<(String, OsString)> {
        let library = std::env::current_exe()
            .expect("this test")
            .with_file_name("libwellcrank_faults.so");
        assert!(
            library.exists(),
            "the build leaves the library beside the tests: {}",
            library.display()
        );
        vec![
            ("LD_PRELOAD".into(), library.into()),
            (page::FILE.into(), self.path.clone().into()),
        ]
    }

    /// Puts a number on the page.
    pub fn set(&self, place: usize, number: i64) {
        self.file
            .write_all_at(&number.to_ne_bytes(), 8 * place as u64)
            .expect("the page");
    }

    /// So many of the next calls fail with that error number.
    pub fn fail(&self, call: &str, error: i32, times: i64) {
        let place = page::error_of(call).expect("a call that can fail");
        self.set(place, i64::from(error));
        self.set(place + 1, times);
    }

    /// Reads and writes move no more than so many bytes; 0: as many as they can.
    pub fn pieces(&self, bytes: i64) {
        self.set(page::MOST_READ, bytes);
        self.set(page::MOST_WRITTEN, bytes);
    }

    /// So many of the next writes stand still for so long.
    pub fn hold_up(&self, milliseconds: i64, times: i64) {
        self.set(page::HELD_UP_MS, milliseconds);
        self.set(page::HELD_UP, times);
    }

    /// The wall clock is so many seconds ahead.
    pub fn step_clock(&self, seconds: i64) {
        self.set(page::WALL_AHEAD, seconds * 1_000_000_000);
    }
}

impl Drop for Faults {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.path);
    }
}
