export function findInstallReason(folder: string, platform?: string, arch?: string): string | undefined;
