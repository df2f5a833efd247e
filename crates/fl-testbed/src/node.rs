//! Node processes that a test starts, pauses and kills.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command, ExitStatus, Stdio};
use std::time::Duration;

/// Ticks per second in which `/proc` counts processor time (`USER_HZ` on Linux).
const CLOCK_TICKS_PER_S: f64 = 100.0;

/// A node that runs as a process of its own. Dropping it kills the process.
pub struct NodeProcess {
    /// The name of the VM.
    pub vm: String,
    /// The data centre of the VM.
    pub data_center: String,
    /// The address for callers.
    pub caller_address: SocketAddr,
    /// The address of the admin pages.
    pub admin_address: SocketAddr,
    /// The address that the node listens on for peers; the relay connects to it.
    pub peer_address: SocketAddr,
    binary: PathBuf,
    settings_path: PathBuf,
    child: Option<Child>,
}

impl NodeProcess {
    /// Writes the settings of a node and returns its process, which is not started yet.
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

    /// Starts the process. Its log goes into a file next to its settings.
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

    /// Returns the process id; panics if the process is not started.
    pub fn pid(&self) -> u32 {
        self.child.as_ref().unwrap().id()
    }

    /// Returns whether the process was started and was not ended by [`Self::kill`] or
    /// [`Self::wait`].
    pub fn is_started(&self) -> bool {
        self.child.is_some()
    }

    /// Kills the process at once, as a crash does.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Asks the process to shut down, with SIGTERM.
    pub fn terminate(&self) {
        self.signal("-TERM");
    }

    /// Pauses the process, with SIGSTOP.
    pub fn pause(&self) {
        self.signal("-STOP");
    }

    /// Resumes the paused process, with SIGCONT.
    pub fn resume(&self) {
        self.signal("-CONT");
    }

    /// Returns whether the process has exited without being waited for.
    pub fn has_exited(&self) -> bool {
        let status = std::path::Path::new("/proc").join(self.pid().to_string()).join("stat");
        let text = std::fs::read_to_string(status).unwrap_or_default();
        text.is_empty() || text.contains(") Z ")
    }

    /// Waits until the process exits and returns its status.
    pub async fn wait(&mut self) -> ExitStatus {
        let mut child = self.child.take().unwrap();
        loop {
            if let Some(status) = child.try_wait().unwrap() {
                return status;
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }

    /// Kills the process after the given time, in the background.
    pub fn kill_after(&self, delay: Duration) {
        let id = self.pid().to_string();
        tokio::spawn(async move {
            tokio::time::sleep(delay).await;
            let _ = Command::new("kill").args(["-KILL", &id]).status();
        });
    }

    /// Returns the processor time used so far, user and system, in seconds.
    pub fn cpu_seconds(&self) -> f64 {
        let text = self.read_proc_file("stat");
        let fields: Vec<&str> = text.rsplit(')').next().unwrap().split_whitespace().collect();
        let ticks: f64 = fields[11].parse::<f64>().unwrap() + fields[12].parse::<f64>().unwrap();
        ticks / CLOCK_TICKS_PER_S
    }

    /// Returns the resident memory, in bytes.
    pub fn memory_bytes(&self) -> u64 {
        let text = self.read_proc_file("status");
        let line = text.lines().find_map(|line| line.strip_prefix("VmRSS:")).unwrap();
        line.split_whitespace().next().unwrap().parse::<u64>().unwrap() * 1024
    }

    fn read_proc_file(&self, name: &str) -> String {
        let path = std::path::Path::new("/proc").join(self.pid().to_string()).join(name);
        std::fs::read_to_string(path).unwrap()
    }

    /// Returns the log written so far.
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
