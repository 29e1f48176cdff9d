export type BuiltFile = {readonly path: string; readonly contents: string | Uint8Array};
export function installFiles(files: readonly BuiltFile[], entry: string): Promise<void>;
export function removeOldChunks(folder: string, files: ReadonlyArray<Pick<BuiltFile, 'path'>>): Promise<void>;
