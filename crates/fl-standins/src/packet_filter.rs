//! A filter on a socket that drops all packets of some senders, as a partitioned network does.
//!
//! Dropped packets are not acknowledged: a connection hangs until its sender gives up, and a new one
//! is not answered. The kernel runs the filter, a program of the classic Berkeley packet filter.

use socket2::{SockFilter, SockRef};
use std::io;
use std::net::Ipv4Addr;

/// Loads four bytes at a fixed place of the packet.
const LOAD_WORD: u16 = 0x20;
/// Jumps if the loaded bytes equal a constant.
const JUMP_IF_EQUAL: u16 = 0x15;
/// Ends the program with the number of bytes to keep.
const RETURN: u16 = 0x06;
/// Place of the sender's address, counted from the start of the packet's network header.
const SENDER_OFFSET: u32 = 0xfff0_0000 + 12;
const KEEP_ALL: u32 = u32::MAX;
const DROP: u32 = 0;

/// Most senders whose packets one filter drops, since jumps are that short.
pub const SENDERS_MAX: usize = 200;

/// Drops all packets of these senders on a socket; replaces an earlier filter.
///
/// # Errors
///
/// Returns an error if the kernel does not take the filter, as for more than [`SENDERS_MAX`].
pub fn drop_packets(socket: SockRef<'_>, senders: &[Ipv4Addr]) -> io::Result<()> {
    if senders.len() > SENDERS_MAX {
        return Err(io::Error::other("too many senders for one filter; name fewer"));
    }
    let mut program = vec![SockFilter::new(LOAD_WORD, 0, 0, SENDER_OFFSET)];
    for (index, sender) in senders.iter().enumerate() {
        let to_drop = (senders.len() - index) as u8;
        program.push(SockFilter::new(JUMP_IF_EQUAL, to_drop, 0, u32::from(*sender)));
    }
    program.push(SockFilter::new(RETURN, 0, 0, KEEP_ALL));
    program.push(SockFilter::new(RETURN, 0, 0, DROP));
    socket.attach_filter(&program)
}

/// Lets all packets through again.
///
/// # Errors
///
/// Returns an error if the kernel does not take the filter away.
pub fn pass_packets(socket: SockRef<'_>) -> io::Result<()> {
    drop_packets(socket, &[])
}
