//! Plays every file in `tests/scenarios` of a package, for both runners: steps, one a line; '#' begins a
//! comment. `ONLY=part` in the environment plays only the files whose path holds that part.

use std::panic::{catch_unwind, AssertUnwindSafe};
use std::path::Path;

/// Each file gets a stage of its own, whose `step` is handed the file's lines one by one and then the word
/// `end`.
pub fn every_scenario<Stage: Default>(step: impl Fn(&mut Stage, &Path, &str)) {
    let folder = std::fs::read_dir("tests/scenarios").expect("the folder");
    let mut files: Vec<_> = folder.map(|file| file.unwrap().path()).collect();
    files.retain(|path| path.extension().is_some_and(|kind| kind == "txt"));
    files.sort();
    if let Ok(only) = std::env::var("ONLY") {
        files.retain(|path| path.to_string_lossy().contains(&only));
    }
    assert!(!files.is_empty(), "no scenario found");
    let mut failed = Vec::new();
    for path in files {
        let mut stage = Stage::default();
        let text = std::fs::read_to_string(&path).expect("a scenario");
        let lines = text.lines().map(|line| line.split('#').next().unwrap_or("").trim());
        for (place, line) in lines.chain(["end"]).enumerate().filter(|(_, line)| !line.is_empty()) {
            if catch_unwind(AssertUnwindSafe(|| step(&mut stage, &path, line))).is_err() {
                failed.push(format!("{}:{}: {line}", path.display(), place + 1));
                break;
            }
        }
    }
    assert!(failed.is_empty(), "\n{}", failed.join("\n"));
}
