//! The buffered start of a request's body.

use std::cell::Cell;
use std::cell::RefCell;

use bytes::Bytes;
use bytes::BytesMut;

/// Bytes of a block into which the chunks of a buffered upload are copied. Each chunk of a caller that sends a few bytes
/// at a time occupies a read buffer of 8 KiB of its own.
const BLOCK_BYTES: usize = 16 << 10;

/// Chunks at the start of a body that can be sent again.
#[derive(Default)]
pub(crate) struct ReplayBuffer {
    chunks: RefCell<Vec<Bytes>>,
    bytes: Cell<usize>,
    /// The block to which the chunks of an upload are copied.
    block: RefCell<BytesMut>,
}

impl ReplayBuffer {
    /// Returns the number of buffered bytes, including those of an unfinished block.
    pub(crate) fn len(&self) -> usize {
        self.bytes.get()
    }

    /// Returns the chunk at `index`; `None` past the last one.
    pub(crate) fn chunk(&self, index: usize) -> Option<Bytes> {
        self.chunks.borrow().get(index).cloned()
    }

    /// Passes the first `limit` bytes to `visit`, in order.
    pub(crate) fn visit(&self, limit: usize, mut visit: impl FnMut(&[u8])) {
        let mut left = limit;
        for chunk in self.chunks.borrow().iter() {
            let part = &chunk[..chunk.len().min(left)];
            left -= part.len();
            visit(part);
        }
    }

    /// Appends a chunk without copying it.
    pub(crate) fn push(&self, data: Bytes) {
        self.bytes.set(self.bytes.get() + data.len());
        self.chunks.borrow_mut().push(data);
    }

    /// Copies a chunk into blocks; `rest` is the number of bytes of the body that may follow it.
    pub(crate) fn push_copy(&self, mut data: &[u8], rest: u64) {
        self.bytes.set(self.bytes.get() + data.len());
        while !data.is_empty() {
            let mut block = self.block.borrow_mut();
            if block.capacity() == 0 {
                let needed = rest.saturating_add(data.len() as u64);
                block.reserve(needed.min(BLOCK_BYTES as u64) as usize);
            }
            let (now, later) = data.split_at(data.len().min(BLOCK_BYTES - block.len()));
            block.extend_from_slice(now);
            data = later;
            let is_full = block.len() == BLOCK_BYTES;
            drop(block);
            if is_full {
                self.end_block();
            }
        }
    }

    /// Appends the unfinished block to the chunks, if it has any bytes.
    pub(crate) fn end_block(&self) {
        let block = self.block.take();
        if !block.is_empty() {
            self.chunks.borrow_mut().push(block.freeze());
        }
    }
}
