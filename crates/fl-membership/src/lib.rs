//! Membership as a pure state machine and its datagram codec.
