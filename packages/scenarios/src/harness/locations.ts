import {fileURLToPath} from 'node:url';

function fromPackages(path: string): string {
	return fileURLToPath(new URL(`../../../${path}`, import.meta.url));
}

/** Script that starts a stand-in. */
export const standinScript = fromPackages('standins/dist/main.js');

/** Script of the daemon. */
export const daemonScript = fromPackages('daemon/bin/balsamtrayd.js');

/** Script of the operators' client. */
export const clientScript = fromPackages('client/bin/balsamtray.js');
