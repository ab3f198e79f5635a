import {fileURLToPath} from 'node:url';

function fromPackages(path: string): string {
	return fileURLToPath(new URL(`../../../${path}`, import.meta.url));
}

/** Path of the script that starts a stand-in. */
export const standinScript = fromPackages('standins/dist/main.js');

/** Path of the daemon's script. */
export const daemonScript = fromPackages('daemon/bin/balsamtrayd.js');

/** Path of the command-line client's script. */
export const clientScript = fromPackages('client/bin/balsamtray.js');
