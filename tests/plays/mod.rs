//! Plays every file in `tests/scenarios` of a package, for both runners: steps, one a line; '#' begins a
//! comment. `ONLY=part` in the environment plays only the files whose path holds that part. A file that
//! `KNOWN-RED.txt` at the root names (its path, a colon, the cause) is played, and its failure printed and passed over.

use std::panic::{catch_unwind, AssertUnwindSafe};
use std::path::Path;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Mutex;

/// So many files are played at a time.
const AT_ONCE: usize = 4;

/// Each file gets a stage of its own, whose `step` is handed the file's lines one by one and then the word
/// `end`.
pub fn every_scenario<Stage: Default>(step: impl Fn(&mut Stage, &Path, &str) + Sync) {
    let folder = std::fs::read_dir("tests/scenarios").expect("the folder");
    let mut files: Vec<_> = folder.map(|file| file.unwrap().path()).collect();
    files.retain(|path| path.extension().is_some_and(|kind| kind == "txt"));
    files.sort();
    if let Ok(only) = std::env::var("ONLY") {
        files.retain(|path| path.to_string_lossy().contains(&only));
    }
    assert!(!files.is_empty(), "no scenario found");
    let (next, failed) = (AtomicUsize::new(0), Mutex::new(Vec::new()));
    std::thread::scope(|scope| {
        for _ in 0..AT_ONCE {
            scope.spawn(|| {
                while let Some(path) = files.get(next.fetch_add(1, Ordering::Relaxed)) {
                    let complaint = play(path, &step);
                    failed.lock().unwrap().extend(complaint);
                }
            });
        }
    });
    let mut failed = failed.into_inner().unwrap();
    failed.sort();
    let known = known_red();
    failed.retain(|complaint| {
        let cause = known
            .iter()
            .find(|line| line.starts_with(complaint.split(':').next().unwrap_or("")));
        cause
            .inspect(|cause| println!("known red: {complaint}\n    {cause}"))
            .is_none()
    });
    assert!(failed.is_empty(), "\n{}", failed.join("\n"));
}

/// The lines of the list of known failures that are about this package, from the path within it on.
fn known_red() -> Vec<String> {
    let package = Path::new(env!("CARGO_MANIFEST_DIR"));
    let root = package
        .ancestors()
        .find(|folder| folder.join("Cargo.lock").exists())
        .expect("the workspace");
    let within = package
        .strip_prefix(root)
        .expect("the workspace holds the package")
        .join("");
    let list = std::fs::read_to_string(root.join("KNOWN-RED.txt")).unwrap_or_default();
    let about = list
        .lines()
        .filter_map(|line| line.strip_prefix(within.to_str()?));
    about
        .filter(|line| line.starts_with("tests/"))
        .map(str::to_string)
        .collect()
}

/// Plays one file; says where it failed.
fn play<Stage: Default>(path: &Path, step: &impl Fn(&mut Stage, &Path, &str)) -> Option<String> {
    let mut stage = Stage::default();
    let text = std::fs::read_to_string(path).expect("a scenario");
    let lines = text
        .lines()
        .map(|line| line.split('#').next().unwrap_or("").trim());
    let mut lines = lines
        .chain(["end"])
        .enumerate()
        .filter(|(_, line)| !line.is_empty());
    let (place, line) = lines.find(|(_, line)| {
        catch_unwind(AssertUnwindSafe(|| step(&mut stage, path, line))).is_err()
    })?;
    Some(format!("{}:{}: {line}", path.display(), place + 1))
}
