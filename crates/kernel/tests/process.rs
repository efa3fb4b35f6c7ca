//! The stop of a process, also of one that is dropped.

use kernel::Process;

#[tokio::test]
async fn dropped_process_stops_its_services() {
    // A service that waits only while the stop is not set would spin otherwise.
    let process = Process::new("test");
    let mut stop = process.stop();
    assert!(!stop.is_set());
    drop(process);
    stop.wait().await;
    assert!(stop.is_set());
}

#[tokio::test]
async fn drained_process_stops_its_services_and_joins_them() {
    let mut process = Process::new("test");
    let mut stop = process.stop();
    let thread = kernel::spawn_local("test", move || async move { stop.wait().await });
    process.add_thread(thread.expect("a thread"));
    process.run().drain().join();
}
