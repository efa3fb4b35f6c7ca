//! Shutdown of a process, also of one that is dropped.

use kernel::Process;

#[tokio::test]
async fn dropped_process_stops_its_services() {
    // A service loops on `wait` while `is_set` is false. If a dropped process ended `wait` without
    // setting the signal, the service would spin.
    let process = Process::new("test");
    let mut stop = process.shutdown_signal();
    assert!(!stop.is_set());
    drop(process);
    stop.wait().await;
    assert!(stop.is_set());
}

#[tokio::test]
async fn drained_process_stops_its_services_and_joins_them() {
    let mut process = Process::new("test");
    let mut stop = process.shutdown_signal();
    let thread = kernel::spawn_local("test", move || async move { stop.wait().await });
    process.add_thread(thread.expect("the thread starts"));
    process.run().drain().join();
}
