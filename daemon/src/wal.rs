//! The log in the folder that lasts. What write() has taken survives the process, so nothing is synced.

use crate::folder::{Claim, PLACES, Place, read, remove};
use crate::maintenance;
use onyxrock::core::{Owed, Record, Scan, frames};
use std::fs::{File, OpenOptions, rename};
use std::io::{self, ErrorKind, Write};
use std::path::{Path, PathBuf};

/// Kept free for the records that follow a request which is already taken on.
const RESERVE: u64 = 96 * 1024;
/// A log is rewritten once it holds so much more than what is owed.
const SLACK: u64 = 256 * 1024;

#[derive(Debug)]
pub struct Wal {
    folder: PathBuf,
    place: Place,
    file: File,
    size: u64,
    /// Bytes that log and new log may take together, with those of another process and what operators have taken out.
    budget: u64,
    beside: Vec<PathBuf>,
    /// At this size it is worth asking how much of the log is owed, which takes a look at all that is held.
    look_at: u64,
    pub compactions: u64,
}

impl Wal {
    /// Opens the log of the place that this process has.
    pub fn of(claim: &Claim, budget: u64) -> io::Result<(Wal, Scan)> {
        let (wal, scan) = Wal::at(&claim.folder, claim.place, budget)?;
        let beside = claim.beside().into_iter().chain(maintenance::files(&claim.folder)).collect();
        Ok((Wal { beside, ..wal }, scan))
    }

    /// Opens the log of a folder where there is nobody else.
    pub fn open(folder: &Path, budget: u64) -> io::Result<(Wal, Scan)> {
        Wal::at(folder, PLACES[0], budget)
    }

    /// Opens a log, made if there is none, and reads what an earlier process left in it.
    fn at(folder: &Path, place: Place, budget: u64) -> io::Result<(Wal, Scan)> {
        // A new log that was not renamed yet says nothing that the old one does not.
        remove(&folder.join(place.new))?;
        let path = folder.join(place.log);
        let bytes = read(&path)?;
        let file = OpenOptions::new().append(true).create(true).open(&path)?;
        let size = bytes.len() as u64;
        // Files count in whole blocks: keep two of them and a little more out of it.
        let budget = budget.saturating_sub(4096);
        Ok((
            Wal {
                folder: folder.into(),
                place,
                file,
                size,
                budget,
                beside: Vec::new(),
                look_at: SLACK,
                compactions: 0,
            },
            frames(&bytes),
        ))
    }

    /// What else is in the folder.
    fn beside(&self) -> u64 {
        self.beside.iter().filter_map(|p| Some(p.metadata().ok()?.len())).sum()
    }

    /// The folder that lasts.
    pub fn folder(&self) -> &Path {
        &self.folder
    }

    pub fn size(&self) -> u64 {
        self.size
    }

    /// Appends records as one write. `owed` is all that is owed before them: it is what a new log would hold.
    /// A request is taken on only where the records that must follow it still fit.
    pub fn append<'a>(
        &mut self, records: &[Record], owed: impl Fn() -> Box<dyn Iterator<Item = &'a Owed> + 'a>,
    ) -> io::Result<()> {
        let mut bytes = Vec::new();
        records.iter().for_each(|r| r.write(&mut bytes));
        let takes_on = records.iter().any(|r| matches!(r, Record::Taken(_)));
        let more = bytes.len() as u64;
        let (twice, kept) = if takes_on { (more * 2, RESERVE) } else { (more, 0) };
        if self.size > self.look_at || self.size + twice + kept > self.budget / 2 {
            let live = live(owed()) + self.beside();
            let tight = self.size + live + twice + kept > self.budget;
            if tight || self.size > live * 2 + SLACK {
                self.compact(owed())?;
            }
            self.look_at = self.size + SLACK / 8;
            if self.size + live + twice + kept > self.budget {
                return Err(io::Error::new(ErrorKind::StorageFull, "the log has no room"));
            }
        }
        if let Err(e) = self.file.write_all(&bytes) {
            // Half a frame in the middle of the log would be damage: cut it off.
            self.file.set_len(self.size)?;
            return Err(e);
        }
        self.size += more;
        Ok(())
    }

    /// Writes what is owed to a new log, which then takes the place of the old one.
    pub fn compact<'a>(&mut self, owed: impl Iterator<Item = &'a Owed>) -> io::Result<()> {
        let mut bytes = Vec::new();
        owed.flat_map(Owed::records).for_each(|r| r.write(&mut bytes));
        if self.size + bytes.len() as u64 + self.beside() > self.budget {
            return Err(io::Error::new(ErrorKind::StorageFull, "no room for a new log beside the old one"));
        }
        let (new, path) = (self.folder.join(self.place.new), self.folder.join(self.place.log));
        let mut file = OpenOptions::new().append(true).create_new(true).open(&new)?;
        if let Err(e) = file.write_all(&bytes).and_then(|()| rename(&new, &path)) {
            let _ = std::fs::remove_file(&new);
            return Err(e);
        }
        (self.file, self.size) = (file, bytes.len() as u64);
        self.look_at = self.size + SLACK / 8;
        self.compactions += 1;
        Ok(())
    }
}

/// About what a new log would hold, rather too much than too little.
fn live<'a>(owed: impl Iterator<Item = &'a Owed>) -> u64 {
    let one = |o: &Owed| {
        let t = &o.taken;
        t.body.len() + t.id.len() + t.key.len() + t.note.len() + t.class.len() + t.tenant.len() + 320
    };
    owed.map(|o| one(o) as u64).sum()
}

#[cfg(test)]
mod tests {
    use super::*;
    use onyxrock::core::{CallEnd, Taken, recover};
    use onyxrock::interface::Micros;
    use std::collections::BTreeMap;

    struct Folder(PathBuf);

    impl Folder {
        fn new(name: &str) -> Folder {
            let path = std::env::temp_dir().join(format!("onyxrock-wal-{}-{name}", std::process::id()));
            std::fs::create_dir_all(&path).unwrap();
            Folder(path)
        }
        /// Every file in whole blocks of 512 bytes, as the platform counts.
        fn used(&self) -> u64 {
            let files = std::fs::read_dir(&self.0).unwrap();
            files.map(|f| f.unwrap().metadata().unwrap().len().div_ceil(512) * 512).sum()
        }
    }

    impl Drop for Folder {
        fn drop(&mut self) {
            let _ = std::fs::remove_dir_all(&self.0);
        }
    }

    fn put(wal: &mut Wal, owed: &mut BTreeMap<u64, Owed>, record: &Record) -> bool {
        if wal.append(std::slice::from_ref(record), || Box::new(owed.values())).is_err() {
            return false;
        }
        match record {
            Record::Taken(t) => drop(owed.insert(t.n, Owed { taken: t.clone(), ..Owed::default() })),
            other if owed.get_mut(&other.n()).is_some_and(|o| !o.apply(other)) => {
                drop(owed.remove(&other.n()))
            }
            _ => {}
        }
        true
    }

    #[test]
    fn a_long_life_stays_inside_the_bound_and_forgets_nothing() {
        const BOUND: u64 = 500_000;
        let folder = Folder::new("life");
        let (mut wal, _) = Wal::open(&folder.0, BOUND).unwrap();
        let (mut owed, mut refused) = (BTreeMap::new(), 0);
        for n in 1..4000u64 {
            let body = vec![n as u8; if n % 50 == 0 { 60_000 } else { 300 }];
            let taken = Taken { n, id: format!("{n}"), deadline: Micros(n), body, ..Taken::default() };
            if !put(&mut wal, &mut owed, &Record::Taken(taken)) {
                refused += 1;
                continue;
            }
            let at = Micros(n);
            // Whatever was taken on, its other records find room: a day that cannot log them is lost.
            assert!(put(
                &mut wal,
                &mut owed,
                &Record::Attempt { n, attempt: 0, endpoint: "e".into(), zone: "z".into(), at }
            ));
            assert!(put(&mut wal, &mut owed, &Record::Outcome { n, attempt: 0, end: CallEnd::MayHaveRun }));
            if n > 200 {
                assert!(put(&mut wal, &mut owed, &Record::Over(n - 200)));
            }
            assert!(folder.used() <= BOUND);
        }
        assert!(refused > 0 && wal.compactions > 0, "{refused} refused, {} rewritten", wal.compactions);
        let (_, scan) = Wal::open(&folder.0, BOUND).unwrap();
        assert_eq!((scan.damaged, recover(scan.records)), (0, owed));
    }

    #[test]
    fn a_rewrite_that_death_cut_short_changes_nothing() {
        let folder = Folder::new("cut");
        let (mut wal, _) = Wal::open(&folder.0, 1_000_000).unwrap();
        let taken = Record::Taken(Taken { n: 7, ..Taken::default() });
        assert!(put(&mut wal, &mut BTreeMap::new(), &taken));
        std::fs::write(folder.0.join(PLACES[0].new), b"half of a rec").unwrap();
        let (mut wal, scan) = Wal::open(&folder.0, 1_000_000).unwrap();
        assert_eq!(scan.records, [taken]);
        wal.compact(recover(scan.records).values()).unwrap();
        assert_eq!(recover(Wal::open(&folder.0, 1_000_000).unwrap().1.records).len(), 1);
    }
}
