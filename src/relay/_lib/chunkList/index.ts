/** Chunks below this size are copied together; a Buffer of its own costs a few hundred bytes. */
const MIN_CHUNK_BYTES = 4 * 1024;

const BLOCK_BYTES = 16 * 1024;

/** The chunks of a body in order: large ones as received, small ones copied into blocks. */
export class ChunkList {
  private readonly complete: Buffer[] = [];
  private block: Buffer | null = null;
  private blockSizeBytes = 0;
  private totalBytes = 0;
  private isGathered = false;

  /** Size of all chunks, in bytes. */
  get sizeBytes(): number {
    return this.totalBytes;
  }

  /**
   * Copies what there is, and what follows, into one block, so that chunks are garbage at once and the whole need not be
   * copied together at the end.
   */
  gather(totalBytes: number): void {
    this.closeBlock();
    const chunks = this.complete.splice(0);
    this.block = Buffer.allocUnsafeSlow(Math.max(totalBytes, this.totalBytes));
    this.isGathered = true;
    for (const chunk of chunks) this.blockSizeBytes += chunk.copy(this.block, this.blockSizeBytes);
  }

  /** Adds a chunk at the end. */
  push(chunk: Buffer): void {
    const isSmall = this.totalBytes > 0 && chunk.length < MIN_CHUNK_BYTES;
    this.totalBytes += chunk.length;
    if (this.block !== null && this.blockSizeBytes + chunk.length > this.block.length)
      this.closeBlock();
    if (!this.isGathered && !isSmall) {
      this.closeBlock();
      this.complete.push(chunk);
      return;
    }
    this.block ??= Buffer.allocUnsafeSlow(BLOCK_BYTES);
    this.blockSizeBytes += chunk.copy(this.block, this.blockSizeBytes);
  }

  /** Removes and returns all chunks. */
  take(): readonly Buffer[] {
    this.closeBlock();
    this.totalBytes = 0;
    return this.complete.splice(0);
  }

  private closeBlock(): void {
    if (this.block !== null) this.complete.push(this.block.subarray(0, this.blockSizeBytes));
    this.block = null;
    this.blockSizeBytes = 0;
    this.isGathered = false;
  }
}

/** Joins chunks; copies them only if there are several. */
export function joinChunks(chunks: readonly Buffer[]): Buffer {
  const [first] = chunks;
  return chunks.length === 1 && first !== undefined ? first : Buffer.concat(chunks);
}
