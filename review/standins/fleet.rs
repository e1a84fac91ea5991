//! Starts the processes of a small deployment with the command of the deploy
//! file, and signals and ends them.

use std::{
    fs,
    io::{BufRead as _, BufReader, Write as _},
    net::{Ipv4Addr, SocketAddr, SocketAddrV4, TcpListener},
    os::unix::process::CommandExt as _,
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant},
};

pub const CONTROL_PORT: u16 = 8620;
pub const READY_PORT: u16 = 8625;
pub const SERVER_PORT: u16 = 8628;
pub const OUTBOUND_PORT: u16 = 8629;
const INTERNAL_PORT: u16 = 7600;

pub const SIGKILL: i32 = 9;
pub const SIGTERM: i32 = 15;
const SIGXFSZ: i32 = 25;
const SIG_IGN: usize = 1;
const PR_SET_PDEATHSIG: i32 = 1;
const RLIMIT_FSIZE: i32 = 1;
const RLIMIT_NOFILE: i32 = 7;
const UNLIMITED: u64 = u64::MAX;

#[repr(C)]
struct Limit {
    soft: u64,
    hard: u64,
}

extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn signal(number: i32, handler: usize) -> usize;
    fn prctl(option: i32, argument: usize, ...) -> i32;
    fn prlimit(pid: i32, resource: i32, new: *const Limit, old: *mut Limit) -> i32;
}

/// The record of a run: what was sent, answered, run and done, with times.
#[derive(Clone)]
pub struct Record {
    start: Instant,
    file: Arc<Mutex<fs::File>>,
}

impl Record {
    pub fn create(path: &Path) -> Self {
        Self {
            start: Instant::now(),
            file: Arc::new(Mutex::new(fs::File::create(path).expect("record.txt"))),
        }
    }

    pub fn line(&self, text: &str) {
        let at = self.start.elapsed().as_secs_f64();
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{at:9.3} {text}");
    }

    /// Writes a line that is also printed.
    pub fn note(&self, text: &str) {
        println!("{:9.3} {text}", self.start.elapsed().as_secs_f64());
        self.line(text);
    }
}

/// The processes that run, so that a run that takes too long can end them.
static RUNNING: Mutex<Vec<i32>> = Mutex::new(Vec::new());

/// The folder with the settings and data of the processes.
static FOLDER: Mutex<Option<PathBuf>> = Mutex::new(None);

/// Kills all processes that were started and have not been waited for, and
/// removes their folder.
pub fn clean_up() {
    for pid in RUNNING.lock().unwrap().iter() {
        unsafe { kill(*pid, SIGKILL) };
    }
    thread::sleep(Duration::from_millis(200));
    if let Some(folder) = FOLDER.lock().unwrap().take() {
        let _ = fs::remove_dir_all(folder);
    }
}

/// Sends a signal to a process that the run has started.
pub fn send_signal(pid: i32, number: i32) {
    unsafe { kill(pid, number) };
}

/// The resident memory of a process in MB.
pub fn resident_mb(pid: i32) -> f64 {
    let text = fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    status_mb(&text, "VmRSS:")
}

fn status_mb(text: &str, name: &str) -> f64 {
    let line = text.lines().find(|line| line.starts_with(name));
    let number = line.and_then(|line| line.split_whitespace().nth(1));
    number.map_or(0.0, |number| number.parse::<f64>().unwrap_or(0.0) / 1024.0)
}

/// A machine with one process of the system.
pub struct Machine {
    pub name: String,
    pub ip: Ipv4Addr,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
}

impl Machine {
    pub fn address(&self, port: u16) -> SocketAddr {
        SocketAddr::V4(SocketAddrV4::new(self.ip, port))
    }

    pub fn pid(&self) -> i32 {
        self.child.as_ref().map_or(0, |child| child.id() as i32)
    }

    /// Starts the process. Its output goes through a pipe into a log file.
    pub fn start(&mut self, program: &Path) {
        let mut command = Command::new(program);
        command
            .arg("--platform")
            .env_clear()
            .env("PATH", std::env::var_os("PATH").unwrap_or_default())
            .env("HOME", std::env::var_os("HOME").unwrap_or_default())
            .env("WISTERIAGLADE_CONFIG", &self.settings)
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(Stdio::null());
        // The process ends with this one, also if this one is killed.
        unsafe {
            command.pre_exec(|| {
                prctl(PR_SET_PDEATHSIG, SIGKILL as usize);
                Ok(())
            });
        }
        let mut child = command.spawn().expect("the program does not start");
        let output = child.stdout.take().unwrap();
        let mut log = fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(&self.log)
            .unwrap();
        thread::spawn(move || {
            for line in BufReader::new(output).lines() {
                let Ok(line) = line else { return };
                let _ = writeln!(log, "{line}");
            }
        });
        RUNNING.lock().unwrap().push(child.id() as i32);
        self.child = Some(child);
    }

    pub fn signal(&self, number: i32) {
        if let Some(child) = &self.child {
            unsafe { kill(child.id() as i32, number) };
        }
    }

    /// Kills the process and waits for its end.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
            RUNNING
                .lock()
                .unwrap()
                .retain(|pid| *pid != child.id() as i32);
        }
    }

    /// Whether the process has ended by itself.
    pub fn has_ended(&mut self) -> bool {
        self.child
            .as_mut()
            .is_some_and(|child| matches!(child.try_wait(), Ok(Some(_))))
    }

    /// Lets the kernel refuse every write of the process to a file, or accept
    /// them again.
    pub fn set_disk_full(&self, full: bool) {
        let soft = if full { 0 } else { UNLIMITED };
        let limit = Limit {
            soft,
            hard: UNLIMITED,
        };
        let result = unsafe { prlimit(self.pid(), RLIMIT_FSIZE, &limit, std::ptr::null_mut()) };
        assert_eq!(result, 0, "the limit cannot be set");
    }

    /// Sets the number of descriptors that the process may have.
    pub fn limit_descriptors(&self, count: u64) {
        let limit = Limit {
            soft: count,
            hard: count,
        };
        let result = unsafe { prlimit(self.pid(), RLIMIT_NOFILE, &limit, std::ptr::null_mut()) };
        assert_eq!(result, 0, "the limit cannot be set");
    }

    /// The largest resident memory of the process so far, in MB.
    pub fn peak_memory_mb(&self) -> f64 {
        let text = fs::read_to_string(format!("/proc/{}/status", self.pid())).unwrap_or_default();
        status_mb(&text, "VmHWM:")
    }
}

impl Drop for Machine {
    fn drop(&mut self) {
        self.kill();
    }
}

/// A deployment: machines with a disk (`cores`) and machines with a server
/// (`sides`), each with an address of its own in 127.0.0.0/8.
pub struct Fleet {
    pub cores: Vec<Machine>,
    pub sides: Vec<Machine>,
    pub folder: PathBuf,
    pub program: PathBuf,
}

impl Fleet {
    /// Writes the settings of a deployment with five cores. `services` names the
    /// service of each side.
    pub fn new(services: &[&str], grants: &str) -> Self {
        Self::with_cores(5, services, grants)
    }

    /// As [`new`](Self::new), with an odd number of cores. The loss of fewer than
    /// half of them is to be borne.
    pub fn with_cores(count: usize, services: &[&str], grants: &str) -> Self {
        // Writes over the limit then fail instead of ending the process. The
        // processes inherit this.
        unsafe { signal(SIGXFSZ, SIG_IGN) };
        let program = std::env::current_dir()
            .unwrap()
            .join("target/release/wisteriaglade");
        if !program.exists() {
            fail("target/release/wisteriaglade is not built");
        }
        let folder = std::env::temp_dir().join(format!("review-{}", std::process::id()));
        fs::create_dir_all(&folder).unwrap();
        *FOLDER.lock().unwrap() = Some(folder.clone());
        let block = free_block();
        let ip = |number: usize| Ipv4Addr::new(127, block.0, block.1, number as u8 + 1);
        let zones = ["caerdydd", "abertawe", "aberystwyth", "bangor"];
        let seeds: Vec<String> = (0..3)
            .map(|n| format!("{}:{CONTROL_PORT}", ip(n)))
            .collect();
        let mut cores = Vec::new();
        let mut sides = Vec::new();
        for number in 0..count + services.len() {
            let is_core = number < count;
            let zone = zones[number % 4];
            let name = if is_core {
                format!("core-{}", number + 1)
            } else {
                format!("sidecar-{}", number + 1 - count)
            };
            let class = if is_core { "core" } else { "sidecar" };
            let address = ip(number);
            let mut text = format!(
                "node={name}\nrole={}\nmachine-class={class}\nserves={}\nip={address}\nzone={zone}\nregion=cymru\n",
                if is_core { "control" } else { "host" },
                if is_core { "control_plane" } else { "sidecar" },
            );
            for zone in zones {
                text += &format!("zones.{zone}=cymru\n");
            }
            text += &format!(
                "listen.control={address}:{CONTROL_PORT}\ninternal-ports={INTERNAL_PORT},7615\nseeds={}\nbootstrap=true\nin-tolerance={is_core}\n",
                seeds.join(",")
            );
            text += &format!(
                "limits.cpu-share=0.6\nlimits.cores=1\nlimits.memory-mb=260\nlimits.max-fds=4100\nlimits.link-mbps=1000.0\nlimits.disk-mb=256\ndiscovery=static\nentry=static\nheartbeat-s=0.87\ncontracts=base,drain,config,cost,retry,recover,own\nfault-tolerance.machines={}\nfault-tolerance.zones=0\nfault-tolerance.regions=0\n",
                (count - 1) / 2
            );
            text += "bounds.seed-lag-s=3\nbounds.addr-reuse-s=2\nbounds.contact-s=3\nbounds.ack-s=4\nbounds.catch-up-s=4\nbounds.drain-s=2\nbounds.grace-s=6\nbounds.loss-slack-s=0.2\nbounds.config-apply-s=2\nbounds.rollback-slack-s=0.25\nbounds.max-skew-s=5\nbounds.retry-budget-ratio=0.2\nbounds.budget-window-s=10\nbounds.budget-slack=58\nbounds.recovery-s=15\nbounds.max-hold-s=10\nbounds.thaw-slack-s=0.3\n";
            text += &format!("grants={grants}\n");
            if is_core {
                text += &format!(
                    "data-dir={}\n",
                    folder.join(format!("data-{name}")).display()
                );
            } else {
                text += &format!(
                    "listen.inbound={address}:8624\nlisten.outbound={address}:{OUTBOUND_PORT}\nlisten.ready={address}:{READY_PORT}\napp-addr={address}:{SERVER_PORT}\nservice={}\n",
                    services[number - count]
                );
            }
            let settings = folder.join(format!("{name}.conf"));
            fs::write(&settings, text).unwrap();
            let machine = Machine {
                log: folder.join(format!("{name}.log")),
                name,
                ip: address,
                settings,
                child: None,
            };
            if is_core {
                cores.push(machine);
            } else {
                sides.push(machine);
            }
        }
        Self {
            cores,
            sides,
            folder,
            program,
        }
    }

    /// Starts all processes. A later start has `bootstrap=false`.
    pub fn start(&mut self) {
        let program = self.program.clone();
        for machine in self.cores.iter_mut().chain(&mut self.sides) {
            machine.start(&program);
        }
        thread::sleep(Duration::from_millis(500));
        for machine in self.cores.iter().chain(&self.sides) {
            let text = fs::read_to_string(&machine.settings).unwrap();
            let text = text.replace("bootstrap=true", "bootstrap=false");
            fs::write(&machine.settings, text).unwrap();
        }
    }

    pub fn controls(&self) -> Vec<SocketAddr> {
        let addresses = self.cores.iter().map(|core| core.address(CONTROL_PORT));
        addresses.collect()
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        self.cores.clear();
        self.sides.clear();
        if std::env::var_os("KEEP").is_none() {
            let _ = fs::remove_dir_all(&self.folder);
        } else {
            println!("logs: {}", self.folder.display());
        }
    }
}

/// Ends the run with the status for a case that could not run.
pub fn fail(reason: &str) -> ! {
    println!("the case could not run: {reason}");
    clean_up();
    std::process::exit(2);
}

/// Draws the second and third byte of a block of loopback addresses whose ports
/// are free.
fn free_block() -> (u8, u8) {
    let mut draw = std::process::id() as u64 ^ 0x9e37_79b9;
    for _ in 0..64 {
        draw = draw
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1_442_695_040_888_963_407);
        let block = (64 | (draw >> 40) as u8 & 127, (draw >> 48) as u8);
        let ports = [
            INTERNAL_PORT,
            INTERNAL_PORT + 1,
            CONTROL_PORT,
            READY_PORT,
            SERVER_PORT,
            OUTBOUND_PORT,
        ];
        let is_free = (1..=70).all(|host| {
            let ip = Ipv4Addr::new(127, block.0, block.1, host);
            ports
                .iter()
                .all(|port| TcpListener::bind((ip, *port)).is_ok())
        });
        if is_free {
            return block;
        }
    }
    fail("no free loopback addresses")
}
