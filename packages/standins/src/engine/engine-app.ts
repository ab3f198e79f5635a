import {AppServer} from '../common/app-server.js';
import {BackendProcess} from '../common/backend-process.js';
import {BackendRecorder} from '../common/backend-recorder.js';
import {registerControl} from '../common/control.js';
import {FaultInjector} from '../common/fault-injector.js';
import type {Flags} from '../common/flags.js';
import {
	engineFaultsSchema,
	type ControlOrder,
} from '../common/fault-schemas.js';
import {AdapterRoutes} from './adapter-routes.js';
import {CompletionRoutes} from './completion-routes.js';
import {readEngineSettings} from './engine-settings.js';
import {Engine} from './engine.js';

/** Creates an engine with its HTTP routes. */
export function createEngineApp(flags: Flags): AppServer {
	const settings = readEngineSettings(flags);
	const server = AppServer.create();
	const faults = FaultInjector.create(engineFaultsSchema);
	const recorder = BackendRecorder.create();
	const engine = Engine.create(settings, faults, recorder);
	const process = BackendProcess.create(
		server,
		recorder,
		settings.restartMs,
		() => {
			engine.reset();
		},
	);
	const options = {
		engine,
		process,
		settings,
		faults,
		recorder,
		baseModel: settings.baseModel,
	};
	faults.register(server.app);
	registerControl(server.app, recorder, order => {
		executeOrder(order, engine, process);
	});
	AdapterRoutes.create(options).register(server.app);
	CompletionRoutes.create(options).register(server.app);
	server.app.get('/health', () => ({}));
	server.app.get('/server_info', () => ({
		boot_id: process.bootId,
		uptime_ms: process.uptimeMs(Date.now()),
		loaded_adapters: engine.slots.loaded(),
		...engine.load.report(Date.now()),
	}));
	return server;
}

function executeOrder(
	order: ControlOrder,
	engine: Engine,
	process: BackendProcess,
): void {
	switch (order.order) {
		case 'crash': {
			process.crash(order.downMs);
			break;
		}

		case 'restart': {
			process.restart();
			break;
		}

		case 'goCold': {
			engine.goCold();
			break;
		}
	}
}
