/** Parts of undici: its main module also loads what an entry does not use, at every start. */
declare module 'undici/lib/dispatcher/pool.js' {
	import {Pool} from 'undici';

	export default Pool;
}

declare module 'undici/lib/core/connect.js' {
	import {buildConnector} from 'undici';

	export default buildConnector;
}
