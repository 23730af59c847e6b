//! Values that are published to readers on other threads.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{mpsc, Arc};
use std::thread;
use std::time::Duration;

use hornbeamloom_daemon::published;

const READERS: usize = 4;
const CHANGES: u64 = 20_000;
/// Only publishers and readers that block each other reach it.
const TEST_TIMEOUT: Duration = Duration::from_secs(60);

/// Guards against a VM that hangs when its configuration changes: a request that kept the resources
/// it had read and read them again waited for the publisher, which waited for that request.
#[test]
fn readers_that_keep_a_value_do_not_block_the_publisher() {
    let (publisher, value) = published::channel(Arc::new(0));
    let is_finished = Arc::new(AtomicBool::new(false));
    let readers = (0..READERS).map(|_| {
        let (value, is_finished) = (value.clone(), is_finished.clone());
        thread::spawn(move || {
            while !is_finished.load(Ordering::Relaxed) {
                let kept = value.get();
                assert!(value.get() >= kept);
            }
        })
    });
    let readers: Vec<_> = readers.collect();
    let (done, finished) = mpsc::channel();
    thread::spawn(move || {
        (1..=CHANGES).for_each(|change| drop(publisher.send_replace(Arc::new(change))));
        is_finished.store(true, Ordering::Relaxed);
        readers.into_iter().for_each(|reader| reader.join().expect("no value goes back"));
        // The test has failed by a timeout if nobody receives this.
        let _ = done.send(());
    });
    assert_eq!(finished.recv_timeout(TEST_TIMEOUT), Ok(()));
}
