#!/usr/bin/env node
import { runLimeleadd } from '@limelead/daemon';

runLimeleadd(process.argv);
