//! Properties of a running process that the platform's tests check: the program interpreter of its executable, the
//! kinds of its sockets, its children and the states of its threads. Read from the ELF header (System V gABI, program
//! headers) and from `/proc` (proc(5)); Linux only.

use std::collections::HashSet;
use std::fs;

/// The program interpreter of an ELF file, which only a dynamically linked one has. Panics if the file is not 64-bit
/// little-endian ELF.
pub fn interpreter(elf: &[u8]) -> Option<String> {
    const PT_INTERP: u32 = 3;
    assert_eq!(
        &elf[..6],
        b"\x7fELF\x02\x01",
        "not a 64-bit little-endian ELF file"
    );
    let u16_at = |at: usize| u16::from_le_bytes([elf[at], elf[at + 1]]) as usize;
    let u64_at =
        |at: usize| u64::from_le_bytes(elf[at..at + 8].try_into().expect("eight bytes")) as usize;
    let (table, size, count) = (u64_at(0x20), u16_at(0x36), u16_at(0x38));
    let interp = (0..count)
        .map(|i| table + i * size)
        .find(|&h| elf[h..h + 4] == PT_INTERP.to_le_bytes());
    interp.map(|h| {
        let (from, length) = (u64_at(h + 8), u64_at(h + 32));
        String::from_utf8_lossy(&elf[from..from + length])
            .trim_end_matches('\0')
            .to_owned()
    })
}

/// The inodes of the open sockets of a process.
pub fn sockets(pid: u32) -> Vec<String> {
    let links = fs::read_dir(format!("/proc/{pid}/fd"))
        .into_iter()
        .flatten()
        .filter_map(Result::ok);
    let link = |e: fs::DirEntry| {
        fs::read_link(e.path())
            .ok()
            .map(|t| t.to_string_lossy().into_owned())
    };
    let inode = |t: String| {
        t.strip_prefix("socket:[")
            .and_then(|t| t.strip_suffix(']'))
            .map(str::to_owned)
    };
    links.filter_map(link).filter_map(inode).collect()
}

/// The inodes in one of the socket tables of the process's network namespace (`tcp`, `udp6`, `unix`, ...).
fn table(pid: u32, name: &str) -> HashSet<String> {
    // The inode is the tenth column of the tables of IP, the seventh of those of Unix sockets.
    let column = if name == "unix" { 6 } else { 9 };
    let text = fs::read_to_string(format!("/proc/{pid}/net/{name}")).unwrap_or_default();
    text.lines()
        .skip(1)
        .filter_map(|l| l.split_whitespace().nth(column).map(str::to_owned))
        .collect()
}

/// The tables that list this socket: only `tcp` or `udp` for a socket over IPv4.
pub fn kinds(pid: u32, inode: &str) -> Vec<&'static str> {
    let tables = ["tcp", "udp", "tcp6", "udp6", "raw", "raw6", "unix"];
    tables
        .into_iter()
        .filter(|t| table(pid, t).contains(inode))
        .collect()
}

/// The state of each thread (`R`: running, `S` and `D`: waiting).
pub fn states(pid: u32) -> Vec<char> {
    let tasks = fs::read_dir(format!("/proc/{pid}/task"))
        .into_iter()
        .flatten()
        .filter_map(Result::ok);
    let stat = |e: fs::DirEntry| fs::read_to_string(e.path().join("stat")).unwrap_or_default();
    let state = |s: String| {
        s.rsplit_once(") ")
            .and_then(|(_, rest)| rest.chars().next())
    };
    tasks.map(stat).filter_map(state).collect()
}

/// The stat lines of the child processes.
pub fn children(pid: u32) -> Vec<String> {
    let all = fs::read_dir("/proc")
        .into_iter()
        .flatten()
        .filter_map(Result::ok);
    let stat = |e: fs::DirEntry| fs::read_to_string(e.path().join("stat")).ok();
    let parent = |s: &String| {
        s.rsplit_once(") ")
            .and_then(|(_, rest)| rest.split_whitespace().nth(1)?.parse().ok())
    };
    all.filter_map(stat)
        .filter(|s| parent(s) == Some(pid))
        .collect()
}
