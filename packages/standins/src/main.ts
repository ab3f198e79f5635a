/**
 * Starts one stand-in: `main.js <table|objects|hosts|weights|engine|service> --port N`, with further flags of its kind.
 * Prints `{"listening":"127.0.0.1:PORT"}` when it listens.
 */
import process from 'node:process';
import type {AppServer} from './common/app-server.js';
import {Flags} from './common/flags.js';
import {createEngineApp} from './engine/engine-app.js';
import {createHostsApp} from './hosts/hosts-app.js';
import {createObjectsApp} from './objects/objects-app.js';
import {createServiceApp} from './service/service-app.js';
import {createTableApp} from './table/table-app.js';
import {createWeightsApp} from './weights/weights-app.js';

const apps: ReadonlyMap<string, (flags: Flags) => AppServer> = new Map([
	['table', createTableApp],
	['objects', createObjectsApp],
	['hosts', createHostsApp],
	['weights', createWeightsApp],
	['engine', createEngineApp],
	['service', createServiceApp],
]);

const [kind = '', ...args] = process.argv.slice(2);
const createApp = apps.get(kind);
if (createApp === undefined) {
	process.stderr.write(`no such stand-in: ${kind}\n`);
	process.exitCode = 2;
} else {
	const flags = Flags.create(args);
	await createApp(flags).start(flags.number('port', 0));
}
