import process from 'node:process';
import type {AppServer} from './common/app-server.js';
import {Flags} from './common/flags.js';
import {createEngineApp} from './engine/engine-app.js';
import {createHostsApp} from './hosts/hosts-app.js';
import {createObjectsApp} from './objects/objects-app.js';
import {createServiceApp} from './service/service-app.js';
import {createTableApp} from './table/table-app.js';
import {createWeightsApp} from './weights/weights-app.js';

/**
 * Stand-ins by the first argument: `main.js <table|objects|hosts|weights|engine|service> --port N`, with the flags of
 * that kind. A stand-in prints `{"listening":"127.0.0.1:PORT"}` when it accepts connections.
 */
const appFactories: ReadonlyMap<string, (flags: Flags) => AppServer> = new Map([
	['table', createTableApp],
	['objects', createObjectsApp],
	['hosts', createHostsApp],
	['weights', createWeightsApp],
	['engine', createEngineApp],
	['service', createServiceApp],
]);

const [kind = '', ...args] = process.argv.slice(2);
const createApp = appFactories.get(kind);
if (createApp === undefined) {
	process.stderr.write(`unknown kind of stand-in: ${kind}\n`);
	process.exitCode = 2;
} else {
	const flags = Flags.create(args);
	await createApp(flags).start(flags.number('port', 0));
}
