//! Runs the scenario files of a package, the `.txt` files in its folder `tests/scenarios`. Each file is a list of
//! steps, one a line; `#` begins a comment. Test crates of several packages include this module by its path.
//!
//! `ONLY=part` in the environment runs only the files whose path contains that part. A file that `KNOWN-RED.txt` at
//! the root of the workspace names (its path, a colon, the cause) is run; its failure is printed and does not fail
//! the test.

use std::fmt::{Debug, Display};
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Mutex;

/// So many scenario files are run at a time.
const PARALLEL_SCENARIOS: usize = 4;

/// The state against which the steps of one scenario file are run.
pub(crate) trait Scenario: Sized {
    /// One step of the file.
    type Step: Debug;
    /// Why a line can't be read as steps.
    type ParseError: Display;

    /// Begins the scenario file of that name, given without its extension.
    fn new(name: &str) -> Self;

    /// Reads one line of the file, without its comment and never empty.
    fn parse_line(line: &str) -> Result<Vec<Self::Step>, Self::ParseError>;

    /// Runs one step; panics where an expectation of the step is not met.
    fn run_step(&mut self, step: &Self::Step);

    /// Called after the last step; panics where something is left that should not be.
    fn finish(&mut self) {}
}

/// Runs every scenario file of the package and panics with a list of those that failed.
pub(crate) fn run_all<S: Scenario>() {
    let files = scenario_files();
    let next_file = AtomicUsize::new(0);
    let failures = Mutex::new(Vec::new());
    std::thread::scope(|scope| {
        for _ in 0..PARALLEL_SCENARIOS {
            scope.spawn(|| {
                while let Some(path) = files.get(next_file.fetch_add(1, Ordering::Relaxed)) {
                    let failure = run_file::<S>(path).err();
                    failures.lock().unwrap().extend(failure);
                }
            });
        }
    });
    let mut failures = failures.into_inner().unwrap();
    failures.sort();
    let known = known_failures();
    failures.retain(|failure| !is_known(failure, &known));
    assert!(failures.is_empty(), "\n{}", failures.join("\n"));
}

/// The scenario files to run, in the order of their names; panics where there is none.
fn scenario_files() -> Vec<PathBuf> {
    let folder = std::fs::read_dir("tests/scenarios").expect("the folder of the scenarios");
    let mut files: Vec<PathBuf> = folder.map(|file| file.unwrap().path()).collect();
    files.retain(|path| path.extension().is_some_and(|extension| extension == "txt"));
    files.sort();
    if let Ok(only) = std::env::var("ONLY") {
        files.retain(|path| path.to_string_lossy().contains(&only));
    }
    assert!(!files.is_empty(), "no scenario found");
    files
}

/// Runs one file; the error names the line that could not be read or whose step failed.
fn run_file<S: Scenario>(path: &Path) -> Result<(), String> {
    let text = std::fs::read_to_string(path).expect("a scenario file");
    let mut steps = Vec::new();
    for (index, line) in text.lines().enumerate() {
        let line = line.split('#').next().unwrap_or("").trim();
        if line.is_empty() {
            continue;
        }
        let place = format!("{}:{}: {line}", path.display(), index + 1);
        let parsed = S::parse_line(line).map_err(|error| format!("{place}: {error}"))?;
        steps.push((place, parsed));
    }
    let name = path.file_stem().expect("a file name").to_string_lossy();
    let mut scenario = S::new(&name);
    for (place, line_steps) in &steps {
        for step in line_steps {
            succeeds(|| scenario.run_step(step)).map_err(|()| format!("{place}: {step:?}"))?;
        }
    }
    succeeds(|| scenario.finish()).map_err(|()| format!("{}: at its end", path.display()))
}

/// Whether the function returns without a panic; the message of a panic is printed by the panic hook.
fn succeeds(run: impl FnOnce()) -> Result<(), ()> {
    catch_unwind(AssertUnwindSafe(run)).map_err(drop)
}

/// Whether a failure is on the list of known ones; prints it with the listed cause if so.
fn is_known(failure: &str, known: &[String]) -> bool {
    let path = failure.split(':').next().unwrap_or("");
    let cause = known.iter().find(|line| line.starts_with(path));
    if let Some(cause) = cause {
        println!("known red: {failure}\n    {cause}");
    }
    cause.is_some()
}

/// The lines of `KNOWN-RED.txt` that are about scenarios of this package, from the path within the package on.
fn known_failures() -> Vec<String> {
    let package = Path::new(env!("CARGO_MANIFEST_DIR"));
    let root = package
        .ancestors()
        .find(|folder| folder.join("Cargo.lock").exists())
        .expect("the root of the workspace");
    let package_prefix = package
        .strip_prefix(root)
        .expect("the workspace contains the package")
        .join("");
    let list = std::fs::read_to_string(root.join("KNOWN-RED.txt")).unwrap_or_default();
    list.lines()
        .filter_map(|line| line.strip_prefix(package_prefix.to_str()?))
        .filter(|line| line.starts_with("tests/"))
        .map(str::to_string)
        .collect()
}
