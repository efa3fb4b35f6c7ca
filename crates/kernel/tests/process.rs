//! Tests of the shutdown of a process, also of one that is dropped.

use kernel::Process;

#[tokio::test]
async fn dropped_process_signals_the_shutdown() {
    // A component loops on `wait` while `is_set` is false. If a dropped process ended `wait`
    // without setting the signal, the component would spin.
    let process = Process::new("test");
    let mut shutdown = process.shutdown_signal();
    assert!(!shutdown.is_set());
    drop(process);
    shutdown.wait().await;
    assert!(shutdown.is_set());
}

#[tokio::test]
async fn drained_process_signals_the_shutdown_and_joins_its_threads() {
    let mut process = Process::new("test");
    let mut shutdown = process.shutdown_signal();
    let thread = kernel::spawn_local("test", move || async move { shutdown.wait().await });
    process.add_thread(thread.expect("the thread starts"));
    process.run().drain().join();
}
