//! Plays every scenario in `tool/tests/scenarios` with the built command, in an empty folder of its own. A scenario is a
//! text file of steps, one a line:
//!
//! ```text
//! file day.toml            a file, of the lines that follow and begin with '|'
//! have calm.toml           a file of lab/experiments is there
//! run lab check day.toml   runs the command to its end
//! exit 2                   how it ended
//! says TEXT                its output or its errors hold the text; 'quiet TEXT': neither does
//! holds report.html TEXT   a file holds the text
//! gone FILE                there is no such file
//! start lab up             starts the command and leaves it running
//! hears TEXT               waits until its output holds the text
//! interrupt                Ctrl-C, as a terminal sends it to the command alone; waits for its end
//! alone 3                  of the processes that it had started, so many at least, none is left
//! tapped N                 in place of a gateway: a server that answers N commands behind 'lab record'
//! ```

#[path = "../../tests/scenario_runner/mod.rs"]
mod scenario_runner;

use scenario_runner::Scenario;
use std::convert::Infallible;
use std::fs;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant};

const PATIENCE: Duration = Duration::from_secs(60);
static FOLDERS: AtomicU32 = AtomicU32::new(0);

#[derive(Default)]
struct Stage {
    folder: Option<PathBuf>,
    file: Option<PathBuf>,
    running: Option<Child>,
    heard: Arc<Mutex<String>>,
    started: Vec<String>,
    ended: Option<(i32, String)>,
}

/// Lines of the command that the client of a recording sends: the count of its words, and two for each of the four.
const LINES_OF_COMMAND: usize = 9;

/// Answers each command that a client sends, when it has come whole, as a gateway does. A gateway that answered
/// sooner would let the client go on before the proxy has seen the end of the command.
fn reject_each_command(mut socket: TcpStream) -> std::io::Result<()> {
    let mut commands = BufReader::new(socket.try_clone()?).lines();
    loop {
        for _ in 0..LINES_OF_COMMAND {
            match commands.next() {
                Some(line) => drop(line?),
                None => return Ok(()),
            }
        }
        socket.write_all(b"-BUSY 5\r\n")?;
    }
}

fn free() -> String {
    let free = TcpListener::bind("127.0.0.1:0").expect("a free port");
    free.local_addr().expect("an address").to_string()
}

/// Processes whose parent is the given one, by number.
fn children(of: u32) -> Vec<String> {
    let all = fs::read_dir("/proc").expect("processes").flatten();
    let numbers = all
        .filter_map(|it| it.file_name().into_string().ok())
        .filter(|it| it.parse::<u32>().is_ok());
    let parent = |it: &String| {
        let stat = fs::read_to_string(format!("/proc/{it}/stat")).ok()?;
        stat.rsplit(')')
            .next()?
            .split_whitespace()
            .nth(1)?
            .parse::<u32>()
            .ok()
    };
    numbers.filter(|it| parent(it) == Some(of)).collect()
}

impl Stage {
    fn folder(&mut self) -> PathBuf {
        self.folder
            .get_or_insert_with(|| {
                let number = FOLDERS.fetch_add(1, Ordering::SeqCst);
                let path = std::env::temp_dir()
                    .join(format!("wellcrank-tool-{}-{number}", std::process::id()));
                fs::create_dir_all(&path).expect("a folder");
                path
            })
            .clone()
    }

    fn command(&mut self, words: &[&str]) -> Command {
        let mut command = Command::new(env!("CARGO_BIN_EXE_wellcrank"));
        command
            .args(words)
            .current_dir(self.folder())
            .stdin(Stdio::null());
        command
    }

    fn until(&mut self, what: &str, mut ask: impl FnMut(&mut Stage) -> bool) {
        let start = Instant::now();
        while !ask(self) {
            assert!(
                start.elapsed() < PATIENCE,
                "{what}: {}",
                self.heard.lock().expect("heard")
            );
            sleep(Duration::from_millis(10));
        }
    }

    fn step(&mut self, line: &str) {
        if let Some(text) = line.strip_prefix('|') {
            let path = self.file.clone().expect("'file' comes first");
            let mut file = fs::OpenOptions::new()
                .append(true)
                .open(path)
                .expect("the file");
            return writeln!(file, "{}", text.strip_prefix(' ').unwrap_or(text)).expect("a line");
        }
        let words: Vec<&str> = line.split_whitespace().collect();
        let rest = |count: usize| line.splitn(count + 1, ' ').nth(count).unwrap_or_default();
        match words[..] {
            ["file", name] => {
                let path = self.folder().join(name);
                fs::write(&path, "").expect("a file");
                self.file = Some(path);
            }
            ["have", name] => {
                let from = format!("../lab/experiments/{name}");
                fs::copy(from, self.folder().join(name)).expect("an experiment");
            }
            ["run", ref words @ ..] => {
                let done = self.command(words).output().expect("the command");
                let said = [done.stdout, done.stderr].concat();
                let said = String::from_utf8_lossy(&said).into_owned();
                self.ended = Some((done.status.code().unwrap_or(-1), said));
            }
            ["exit", code] => {
                let (found, said) = self.ended.as_ref().expect("it has ended");
                assert!(
                    *found == code.parse::<i32>().expect("a number"),
                    "{found}: {said}"
                );
            }
            ["says", ..] | ["quiet", ..] => {
                let (_, said) = self.ended.as_ref().expect("it has ended");
                assert!(said.contains(rest(1)) == (words[0] == "says"), "{said}");
            }
            ["holds", name, ..] => {
                let text = fs::read_to_string(self.folder().join(name)).expect("a file");
                assert!(text.contains(rest(2)), "{}", &text[..text.len().min(500)]);
            }
            ["gone", name] => assert!(!self.folder().join(name).exists()),
            ["start", ref words @ ..] => {
                let mut child = self
                    .command(words)
                    .stdout(Stdio::piped())
                    .stderr(Stdio::null())
                    .spawn()
                    .expect("it starts");
                let (mut out, heard) =
                    (child.stdout.take().expect("its output"), self.heard.clone());
                spawn(move || {
                    let mut bytes = [0; 4096];
                    while let Ok(count @ 1..) = out.read(&mut bytes) {
                        heard
                            .lock()
                            .expect("heard")
                            .push_str(&String::from_utf8_lossy(&bytes[..count]));
                    }
                });
                self.running = Some(child);
            }
            ["hears", ..] => {
                let wanted = rest(1).to_string();
                self.until(&wanted.clone(), |stage| {
                    stage.heard.lock().expect("heard").contains(&wanted)
                });
            }
            ["interrupt"] => {
                let id = self.running.as_ref().expect("it runs").id();
                self.started = children(id);
                let sent = Command::new("kill")
                    .args(["-INT", &id.to_string()])
                    .status()
                    .expect("kill");
                assert!(sent.success());
                self.until("its end", |stage| {
                    let child = stage.running.as_mut().expect("it runs");
                    let Some(status) = child.try_wait().expect("its state") else {
                        return false;
                    };
                    stage.ended = Some((
                        status.code().unwrap_or(-1),
                        stage.heard.lock().expect("heard").clone(),
                    ));
                    true
                });
                self.running = None;
            }
            ["alone", least] => {
                assert!(
                    self.started.len() >= least.parse().expect("a number"),
                    "it had started more"
                );
                let left: Vec<&String> = self
                    .started
                    .iter()
                    .filter(|it| PathBuf::from(format!("/proc/{it}")).exists())
                    .collect();
                assert!(left.is_empty(), "{left:?}");
            }
            ["tapped", count] => self.tapped(count.parse().expect("a number")),
            _ => panic!("no such step"),
        }
    }

    /// Stands behind a tap as a gateway that answers at once, and before it as a client.
    fn tapped(&mut self, count: usize) {
        let gateway = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let (to, listen) = (
            gateway.local_addr().expect("an address").to_string(),
            free(),
        );
        self.step(&format!(
            "start lab record --listen {listen} --to {to} --out asked.zst"
        ));
        spawn(move || {
            for socket in gateway.incoming() {
                let _ = reject_each_command(socket.expect("a connection"));
            }
        });
        let mut client = None;
        self.until("the tap listens", |_| {
            client = TcpStream::connect(&listen).ok();
            client.is_some()
        });
        let mut client = client.expect("connected");
        for number in 0..count {
            let list = format!(
                "c=preview,t=desk,d=900{},units=2,spread=1,first=0",
                if number == 1 { ",r=1" } else { "" }
            );
            let command = format!(
                "*4\r\n$9\r\nSVC.QUERY\r\n$16\r\n00000000b4d65521\r\n$16\r\n{number:016x}\r\n${}\r\n{list}\r\n",
                list.len()
            );
            // In two pieces: what is recorded does not hang on how it comes.
            let (one, two) = command.as_bytes().split_at(17);
            client
                .write_all(one)
                .and_then(|()| client.flush())
                .expect("the tap reads");
            sleep(Duration::from_millis(5));
            client.write_all(two).expect("the tap reads");
            let mut answer = [0; 9];
            client.read_exact(&mut answer).expect("an answer");
            assert_eq!(&answer, b"-BUSY 5\r\n");
        }
    }
}

impl Drop for Stage {
    fn drop(&mut self) {
        if let Some(mut child) = self.running.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
        if let Some(folder) = &self.folder {
            let _ = fs::remove_dir_all(folder);
        }
    }
}

impl Scenario for Stage {
    type Step = String;
    type ParseError = Infallible;

    fn new(_: &str) -> Self {
        Self::default()
    }

    fn parse_line(line: &str) -> Result<Vec<String>, Infallible> {
        Ok(vec![line.to_string()])
    }

    fn run_step(&mut self, step: &String) {
        self.step(step);
    }
}

#[test]
fn every_scenario() {
    scenario_runner::run_all::<Stage>();
}
