use super::*;
use std::path::Path;

/// A folder that is removed at the end.
struct Folder(PathBuf);

impl Folder {
    fn new() -> Self {
        let path = std::env::temp_dir().join(format!("request-ids-{:016x}", rand::random::<u64>()));
        std::fs::create_dir(&path).unwrap();
        Self(path)
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

fn files(folder: &Path, process: u32) -> ProcessFiles {
    let path = |kind| folder.join(format!("{kind}-{process}"));
    ProcessFiles { endpoint_list: path("endpoints"), request_ids: path("requests") }
}

fn exchange(folder: &Path, process: u32) -> (watch::Sender<Vec<ProcessFiles>>, RequestIdExchange) {
    let (sender, processes) = watch::channel(Vec::new());
    let log = Logger::root(slog::Discard, slog::o!());
    (sender, RequestIdExchange::new(files(folder, process).request_ids, processes, log))
}

#[test]
fn id_is_held_by_one_process() {
    let folder = Folder::new();
    let (old_sender, mut old) = exchange(&folder.0, 0);
    let (new_sender, mut new) = exchange(&folder.0, 1);
    assert!(old.claim(TraceId(1)) && !files(&folder.0, 0).request_ids.exists(), "nothing is written alone");
    old_sender.send_replace(vec![files(&folder.0, 1)]);
    new_sender.send_replace(vec![files(&folder.0, 0)]);
    assert!(old.update_processes([TraceId(1)].into_iter()).is_empty());
    assert!(new.update_processes(std::iter::empty()).is_empty());
    assert!(!new.claim(TraceId(1)), "held before the other process started");
    assert!(old.claim(TraceId(2)) && !new.claim(TraceId(2)));
    old.release(TraceId(2));
    assert!(new.claim(TraceId(2)) && !old.claim(TraceId(2)));
    // An ended process leaves what it held to the other, and its log is begun anew by its successor.
    new_sender.send_replace(Vec::new());
    assert_eq!(new.update_processes([TraceId(2)].into_iter()), [TraceId(1)]);
    assert!(!files(&folder.0, 1).request_ids.exists());
    drop(old);
    let (_sender, mut next) = exchange(&folder.0, 0);
    next.others.push(OtherIds::new(files(&folder.0, 1).request_ids));
    next.update_own_log(std::iter::empty());
    new_sender.send_replace(vec![files(&folder.0, 0)]);
    assert!(new.update_processes([TraceId(2)].into_iter()).is_empty());
    assert!(new.claim(TraceId(1)), "the successor does not hold it");
    assert!(!next.claim(TraceId(2)));
}

#[test]
fn ids_are_hexadecimal_numbers() {
    assert_eq!(TraceId::parse(b"00000000000000fF"), Some(TraceId(255)));
    assert_eq!(TraceId::parse(b"not a number"), None);
}
