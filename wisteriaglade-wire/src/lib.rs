//! Frames, datagrams and the handshake between the processes of the router.
