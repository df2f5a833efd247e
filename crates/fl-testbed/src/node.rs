//! A node as a process.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command, ExitStatus, Stdio};
use std::time::Duration;

/// Ticks in which the kernel counts processor time.
const CLOCK_TICKS_PER_S: f64 = 100.0;

/// A node as a process.
pub struct NodeProcess {
    /// Its VM.
    pub vm: String,
    /// Its data centre.
    pub data_center: String,
    /// Where callers reach it.
    pub caller_address: SocketAddr,
    /// Where its admin pages are.
    pub admin_address: SocketAddr,
    /// Where peers reach it, past the relay.
    pub peer_address: SocketAddr,
    binary: PathBuf,
    settings_path: PathBuf,
    child: Option<Child>,
}

impl NodeProcess {
    /// Describes a process that is not started yet; writes its settings.
    pub fn new(
        binary: PathBuf,
        directory: &std::path::Path,
        vm: &str,
        data_center: &str,
        addresses: [SocketAddr; 3],
        settings: &str,
    ) -> Self {
        let settings_path = directory.join(format!("{vm}.ini"));
        std::fs::write(&settings_path, settings).unwrap();
        let [caller_address, admin_address, peer_address] = addresses;
        NodeProcess {
            vm: vm.to_string(),
            data_center: data_center.to_string(),
            caller_address,
            admin_address,
            peer_address,
            binary,
            settings_path,
            child: None,
        }
    }

    /// Starts the process; its log goes into a file beside its settings.
    pub fn start(&mut self) {
        let log = std::fs::File::create(self.settings_path.with_extension("log")).unwrap();
        let child = Command::new(&self.binary)
            .arg("--settings")
            .arg(&self.settings_path)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()
            .unwrap();
        self.child = Some(child);
    }

    /// Its process id.
    pub fn pid(&self) -> u32 {
        self.child.as_ref().unwrap().id()
    }

    /// Says whether it was started and not ended by the test.
    pub fn is_started(&self) -> bool {
        self.child.is_some()
    }

    /// Ends it at once, as a crash does.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Asks it to shut down.
    pub fn terminate(&self) {
        self.signal("-TERM");
    }

    /// Pauses it.
    pub fn pause(&self) {
        self.signal("-STOP");
    }

    /// Lets it go on.
    pub fn resume(&self) {
        self.signal("-CONT");
    }

    /// Says whether the process ended by itself.
    pub fn has_exited(&self) -> bool {
        let status = std::path::Path::new("/proc").join(self.pid().to_string()).join("stat");
        let text = std::fs::read_to_string(status).unwrap_or_default();
        text.is_empty() || text.contains(") Z ")
    }

    /// Waits for its end.
    pub async fn wait(&mut self) -> ExitStatus {
        let mut child = self.child.take().unwrap();
        loop {
            if let Some(status) = child.try_wait().unwrap() {
                return status;
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }

    /// Ends it at once after a while, whatever the test does meanwhile.
    pub fn kill_after(&self, wait: Duration) {
        let id = self.pid().to_string();
        tokio::spawn(async move {
            tokio::time::sleep(wait).await;
            let _ = Command::new("kill").args(["-KILL", &id]).status();
        });
    }

    /// Processor time it has used, user and system, in seconds.
    pub fn cpu_seconds(&self) -> f64 {
        let text = self.proc_file("stat");
        let fields: Vec<&str> = text.rsplit(')').next().unwrap().split_whitespace().collect();
        let ticks: f64 = fields[11].parse::<f64>().unwrap() + fields[12].parse::<f64>().unwrap();
        ticks / CLOCK_TICKS_PER_S
    }

    /// Memory it holds, in bytes.
    pub fn memory_bytes(&self) -> u64 {
        let text = self.proc_file("status");
        let line = text.lines().find_map(|line| line.strip_prefix("VmRSS:")).unwrap();
        line.split_whitespace().next().unwrap().parse::<u64>().unwrap() * 1024
    }

    fn proc_file(&self, name: &str) -> String {
        let path = std::path::Path::new("/proc").join(self.pid().to_string()).join(name);
        std::fs::read_to_string(path).unwrap()
    }

    /// Its log so far.
    pub fn log(&self) -> String {
        std::fs::read_to_string(self.settings_path.with_extension("log")).unwrap_or_default()
    }

    fn signal(&self, name: &str) {
        let id = self.pid().to_string();
        let status = Command::new("kill").args([name, &id]).status().unwrap();
        assert!(status.success(), "kill {name} {id}");
    }
}

impl Drop for NodeProcess {
    fn drop(&mut self) {
        self.kill();
    }
}
