//! Runs the scenario files of a package: the `.txt` files in its directory `tests/scenarios`. Each line of a file holds
//! one or more steps; `#` starts a comment. Test crates of several packages include this module by path.
//!
//! If the environment variable `ONLY` is set, only files whose path contains its value are run. The file `KNOWN-RED.txt`
//! at the root of the workspace lists scenarios that are known to fail, one per line: the path, a colon and the cause.
//! These are run, too; their failures are printed and do not fail the test.

use std::fmt::{Debug, Display};
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Mutex;

/// The number of scenario files that are run concurrently.
const PARALLEL_SCENARIOS: usize = 4;

/// The state of one scenario file, on which its steps are run.
pub(crate) trait Scenario: Sized {
    /// One step of the file.
    type Step: Debug;
    /// The error for a line that can't be parsed.
    type ParseError: Display;

    /// Creates the state for the scenario file with this name, given without its extension.
    fn new(name: &str) -> Self;

    /// Parses one line of the file. The line has no comment and is not empty.
    fn parse_line(line: &str) -> Result<Vec<Self::Step>, Self::ParseError>;

    /// Runs one step. Panics if an expectation of the step is not met.
    fn run_step(&mut self, step: &Self::Step);

    /// Called after the last step. Panics if something is left that no step has expected.
    fn finish(&mut self) {}
}

/// Runs every scenario file of the package. Panics with a list of the failures, if there are any.
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

/// Returns the scenario files to run, in the order of their names. Panics if there are none.
fn scenario_files() -> Vec<PathBuf> {
    let directory =
        std::fs::read_dir("tests/scenarios").expect("expected a directory tests/scenarios");
    let mut files: Vec<PathBuf> = directory.map(|file| file.unwrap().path()).collect();
    files.retain(|path| path.extension().is_some_and(|extension| extension == "txt"));
    files.sort();
    if let Ok(only) = std::env::var("ONLY") {
        files.retain(|path| path.to_string_lossy().contains(&only));
    }
    assert!(
        !files.is_empty(),
        "expected at least one .txt file in tests/scenarios whose path matches ONLY, found none"
    );
    files
}

/// Runs one file. The error names the line that could not be parsed or whose step failed.
fn run_file<S: Scenario>(path: &Path) -> Result<(), String> {
    let text = std::fs::read_to_string(path).expect("expected a readable scenario file");
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
    let name = path
        .file_stem()
        .expect("expected a path with a file name")
        .to_string_lossy();
    let mut scenario = S::new(&name);
    for (place, line_steps) in &steps {
        for step in line_steps {
            succeeds(|| scenario.run_step(step)).map_err(|()| format!("{place}: {step:?}"))?;
        }
    }
    succeeds(|| scenario.finish()).map_err(|()| format!("{}: after the last step", path.display()))
}

/// Runs a function and returns an error if it panics. The panic hook prints the message.
fn succeeds(run: impl FnOnce()) -> Result<(), ()> {
    catch_unwind(AssertUnwindSafe(run)).map_err(drop)
}

/// Returns whether a failure is on the list of known ones. If so, prints it with the listed cause.
fn is_known(failure: &str, known: &[String]) -> bool {
    let path = failure.split(':').next().unwrap_or("");
    let cause = known.iter().find(|line| line.starts_with(path));
    if let Some(cause) = cause {
        println!("known red: {failure}\n    {cause}");
    }
    cause.is_some()
}

/// Returns the lines of `KNOWN-RED.txt` on scenarios of this package, with paths relative to the package.
fn known_failures() -> Vec<String> {
    let package = Path::new(env!("CARGO_MANIFEST_DIR"));
    let root = package
        .ancestors()
        .find(|directory| directory.join("Cargo.lock").exists())
        .expect("expected Cargo.lock in a parent directory of the package");
    let package_prefix = package
        .strip_prefix(root)
        .expect("expected the package inside the workspace")
        .join("");
    let list = std::fs::read_to_string(root.join("KNOWN-RED.txt")).unwrap_or_default();
    list.lines()
        .filter_map(|line| line.strip_prefix(package_prefix.to_str()?))
        .filter(|line| line.starts_with("tests/"))
        .map(str::to_string)
        .collect()
}
