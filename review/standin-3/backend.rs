//! Stand-in for a backend.

use std::io::BufReader;
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::http;
use crate::store::Store;

/// A request that a backend ran.
#[derive(Clone)]
pub struct Run {
    pub at: Instant,
    pub id: String,
}

pub struct Settings {
    pub id: String,
    pub service: String,
    pub zone: String,
    pub slots: usize,
    pub work: Duration,
}

pub struct Backend {
    pub settings: Settings,
    pub address: SocketAddr,
    pub runs: Mutex<Vec<Run>>,
    running: Mutex<usize>,
    freed: Condvar,
    up: Mutex<bool>,
    /// Number of the present process, which the connections that it has accepted bear.
    process: AtomicU64,
    /// Whether the connections of earlier processes stay open, without an answer.
    silent: AtomicBool,
    stamps: AtomicU64,
    connections: Mutex<Vec<TcpStream>>,
    cold_until: Mutex<Option<Instant>>,
    born: Mutex<u128>,
}

impl Backend {
    pub fn start(ip: &str, settings: Settings) -> Arc<Self> {
        let listener = TcpListener::bind((ip, 0)).expect("a port for a backend");
        let address = listener.local_addr().expect("the listener is bound");
        let backend = Arc::new(Self {
            settings,
            address,
            runs: Mutex::default(),
            running: Mutex::default(),
            freed: Condvar::new(),
            up: Mutex::new(true),
            process: AtomicU64::new(0),
            silent: AtomicBool::new(false),
            stamps: AtomicU64::new(0),
            connections: Mutex::default(),
            cold_until: Mutex::default(),
            born: Mutex::new(now_ms()),
        });
        let this = Arc::clone(&backend);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if !*this.up.lock().expect("no thread panics") {
                    return;
                }
                let this = Arc::clone(&this);
                thread::spawn(move || this.serve(stream));
            }
        });
        backend
    }

    pub fn key(&self) -> String {
        format!("servers/{}", self.settings.id)
    }

    /// Writes the entry of the backend.
    pub fn register(&self, store: &Store, state: &str) {
        let Settings { service, zone, slots, .. } = &self.settings;
        let warmup = self.warmup_left().as_millis();
        let entry = format!(
            "{{\"service\":\"{service}\",\"address\":\"{}\",\"zone\":\"{zone}\",\"version\":\"1\",\
             \"capacity\":{slots},\"state\":\"{state}\",\"warmup_left_ms\":{warmup},\"sequence\":1,\"born\":{}}}",
            self.address,
            self.born.lock().expect("no thread panics")
        );
        store.put(&self.key(), &entry);
    }

    /// Ends the process, and starts another one under the same id, which is cold for a time. The connections
    /// of the old one are closed, or stay open without an answer if `silent`.
    pub fn restart(&self, silent: bool, cold: Duration) {
        self.silent.store(silent, Ordering::Relaxed);
        self.process.fetch_add(1, Ordering::Relaxed);
        *self.born.lock().expect("no thread panics") = now_ms();
        self.set_cold(cold);
        let connections = std::mem::take(&mut *self.connections.lock().expect("no thread panics"));
        if !silent {
            connections.iter().for_each(|stream| drop(stream.shutdown(Shutdown::Both)));
        }
    }

    /// Ends the backend: it accepts no more connections and answers no more requests.
    pub fn exit(&self) {
        *self.up.lock().expect("no thread panics") = false;
        let _ = TcpStream::connect(self.address);
    }

    /// Makes the backend cold for a time, as from now on its health checks state.
    pub fn set_cold(&self, time: Duration) {
        *self.cold_until.lock().expect("no thread panics") = Some(Instant::now() + time);
    }

    fn warmup_left(&self) -> Duration {
        let until = *self.cold_until.lock().expect("no thread panics");
        until.map_or(Duration::ZERO, |until| until.saturating_duration_since(Instant::now()))
    }

    pub fn runs_after(&self, time: Instant) -> Vec<Run> {
        let runs = self.runs.lock().expect("no thread panics");
        runs.iter().filter(|run| run.at > time).cloned().collect()
    }

    fn is_up(&self) -> bool {
        *self.up.lock().expect("no thread panics")
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(reader) = stream.try_clone() else { return };
        let (mut reader, mut stream) = (BufReader::new(reader), stream);
        let process = self.process.load(Ordering::Relaxed);
        if let Ok(stream) = stream.try_clone() {
            self.connections.lock().expect("no thread panics").push(stream);
        }
        while let Some(request) = http::read(&mut reader) {
            if !self.is_up() {
                break;
            }
            if self.process.load(Ordering::Relaxed) != process {
                self.stay_silent();
                break;
            }
            let answered = if request.word(1) == "/health" {
                let warmup = self.warmup_left().as_millis().to_string();
                let headers = [("instance-id", self.settings.id.as_str()), ("warmup-ms", &warmup)];
                http::write(&mut stream, "HTTP/1.1 200 OK", &headers, b"")
            } else {
                self.answer(process, &request, &mut stream)
            };
            if answered.is_err() {
                break;
            }
        }
        let _ = stream.shutdown(Shutdown::Both);
    }

    /// Holds a connection open for as long as its process is said to be silent.
    fn stay_silent(&self) {
        while self.silent.load(Ordering::Relaxed) {
            thread::sleep(Duration::from_millis(100));
        }
    }

    fn answer(
        &self,
        process: u64,
        request: &http::Message,
        stream: &mut TcpStream,
    ) -> std::io::Result<()> {
        let at = Instant::now();
        let id = request.header("request-id").unwrap_or("").to_string();
        let expected = request.header("expect-instance");
        if expected.is_some_and(|expected| expected != self.settings.id) {
            let headers = [("request-id", id.as_str()), ("not-executed", "1")];
            return http::write(stream, "HTTP/1.1 421 Misdirected Request", &headers, b"");
        }
        self.runs.lock().expect("no thread panics").push(Run { at, id: id.clone() });
        let mut running = self.running.lock().expect("no thread panics");
        while *running >= self.settings.slots {
            running = self.freed.wait(running).expect("no thread panics");
        }
        *running += 1;
        drop(running);
        thread::sleep(self.settings.work);
        *self.running.lock().expect("no thread panics") -= 1;
        self.freed.notify_one();
        if self.process.load(Ordering::Relaxed) != process {
            self.stay_silent();
            return Err(std::io::ErrorKind::ConnectionAborted.into());
        }
        let stamp =
            format!("{}.{id}.{}", self.settings.id, self.stamps.fetch_add(1, Ordering::Relaxed));
        let headers = [
            ("request-id", id.as_str()),
            ("server-stamp", stamp.as_str()),
            ("keep-alive", "timeout=30"),
        ];
        http::write(stream, "HTTP/1.1 200 OK", &headers, stamp.as_bytes())
    }
}

fn now_ms() -> u128 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |time| time.as_millis())
}
