/**
 * Keeps bytes that arrive in chunks of any size in memory of about their own length: small chunks are copied together, as
 * each would else keep an object, and often the whole read that it is a part of.
 *
 * @packageDocumentation
 */

/** Kept bytes. */
export interface ByteStore {
    readonly push: (chunk: Buffer) => void;
    readonly countBytes: () => number;
    /** Returns the size of the memory that the bytes keep alive. */
    readonly countHeldBytes: () => number;
    /** Returns the bytes in order and forgets them; no piece is empty. */
    readonly take: () => readonly Buffer[];
}

/** Size of the blocks into which small chunks are copied. */
const blockBytes = 8_192;
/** Chunks of this size or more are kept as they are. */
const largeChunkBytes = 4_096;

/**
 * Creates an empty store.
 *
 * @returns the store, owned by the caller
 */
export function createByteStore(): ByteStore {
    let pieces: Buffer[] = [];
    let block: Buffer | undefined;
    let blockSize = 0;
    let size = 0;
    let heldSize = 0;
    const closeBlock = (): void => {
        if (block && blockSize > 0) {
            pieces.push(block.subarray(0, blockSize));
            block = block.subarray(blockSize);
            blockSize = 0;
        }
    };
    const addCopy = (chunk: Buffer): void => {
        for (let start = 0; start < chunk.length;) {
            if (!block || blockSize === block.length) {
                closeBlock();
                block = Buffer.allocUnsafeSlow(blockBytes);
                heldSize += blockBytes;
            }
            const copied = chunk.copy(block, blockSize, start);
            start += copied;
            blockSize += copied;
        }
    };
    return {
        push: chunk => {
            size += chunk.length;
            if (isWorthKeeping(chunk)) {
                closeBlock();
                pieces.push(chunk);
                heldSize += chunk.buffer.byteLength;
            }
            else {
                addCopy(chunk);
            }
        },
        countBytes: () => size,
        countHeldBytes: () => heldSize,
        take: () => {
            closeBlock();
            const taken = pieces;
            pieces = [];
            block = undefined;
            size = 0;
            heldSize = 0;
            return taken;
        },
    };
}

// a part of a read keeps all of it
function isWorthKeeping(chunk: Buffer): boolean {
    return chunk.length >= largeChunkBytes && chunk.length * 2 >= chunk.buffer.byteLength;
}
